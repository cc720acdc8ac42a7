/**
 * Execution of streamed requests, and of all requests to chains of model engines.
 */
package org.medlardrum.gateway.internal.stream;
