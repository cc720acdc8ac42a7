/**
 * Quarantine of requests that crash the servers that run them.
 */
package org.medlardrum.gateway.internal.quarantine;
