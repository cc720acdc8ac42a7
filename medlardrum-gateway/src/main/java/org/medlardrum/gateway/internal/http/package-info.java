/**
 * HTTP server and the handlers of the caller, readiness and metrics addresses.
 */
package org.medlardrum.gateway.internal.http;
