/**
 * Wiring of the entry host and its graceful shutdown.
 */
package org.medlardrum.entry.internal.host;
