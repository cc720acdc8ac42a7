/**
 * Execution of streamed requests to chains of model engines.
 */
package org.medlardrum.gateway.internal.stream;
