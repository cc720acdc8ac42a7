/**
 * Placeholder.
 */
package org.medlardrum.standins;
