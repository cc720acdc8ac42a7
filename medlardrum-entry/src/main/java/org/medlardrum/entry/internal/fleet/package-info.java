/**
 * State of the backend servers as recorded by this host, and the thread that owns it.
 */
package org.medlardrum.entry.internal.fleet;
