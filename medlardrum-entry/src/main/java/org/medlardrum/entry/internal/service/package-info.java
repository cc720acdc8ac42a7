/**
 * Calls of plain services: choice of servers, retries and claims.
 */
package org.medlardrum.entry.internal.service;
