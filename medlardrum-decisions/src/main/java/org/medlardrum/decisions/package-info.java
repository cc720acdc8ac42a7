/**
 * Pure decision functions of the router. Clock readings and random sources are arguments;
 * nothing here does I/O. No type is thread-safe: the owning thread calls it.
 */
package org.medlardrum.decisions;
