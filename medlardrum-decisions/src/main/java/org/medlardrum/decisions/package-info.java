/**
 * Placeholder.
 */
package org.medlardrum.decisions;
