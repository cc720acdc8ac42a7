/**
 * Placeholder.
 */
package org.medlardrum.entry;
