/**
 * Handlers of the callers', readiness and metrics addresses.
 */
package org.medlardrum.gateway.internal.http;
