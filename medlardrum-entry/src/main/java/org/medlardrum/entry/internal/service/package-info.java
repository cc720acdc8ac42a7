/**
 * Execution of plain-service calls: choice of servers and retries.
 */
package org.medlardrum.entry.internal.service;
