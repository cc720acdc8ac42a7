/**
 * Streams of model engines.
 */
package org.medlardrum.gateway.internal.stream;
