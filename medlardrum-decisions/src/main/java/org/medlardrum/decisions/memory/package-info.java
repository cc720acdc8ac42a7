/**
 * Decides how many bytes of responses a host holds at the same time.
 */
package org.medlardrum.decisions.memory;
