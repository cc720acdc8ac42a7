/**
 * Placeholder.
 */
package org.medlardrum.cli;
