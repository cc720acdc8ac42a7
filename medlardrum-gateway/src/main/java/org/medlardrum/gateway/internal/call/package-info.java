/**
 * Calls to backend servers.
 */
package org.medlardrum.gateway.internal.call;
