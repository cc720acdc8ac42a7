/**
 * Requests that a host without paths to the backend servers passes on to another host.
 */
package org.medlardrum.gateway.internal.relay;
