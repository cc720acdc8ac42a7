/**
 * Requests to plain services.
 */
package org.medlardrum.gateway.internal.plain;
