/**
 * Requests that wait for capacity at this host, by service. Confined to the event loop
 * unless a method says otherwise.
 */
package org.medlardrum.gateway.internal.admission;
