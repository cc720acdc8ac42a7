/**
 * What this host knows about the backend servers, and the thread that owns it.
 */
package org.medlardrum.entry.internal.fleet;
