/**
 * Placeholder.
 */
package org.medlardrum.transport;
