/**
 * Entry host that connects all components, its graceful shutdown, metrics and status.
 */
package org.medlardrum.entry.internal.host;
