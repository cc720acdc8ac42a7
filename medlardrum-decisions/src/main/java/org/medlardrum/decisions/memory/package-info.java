/**
 * Decides how many bytes of requests and responses a host holds at the same time.
 */
package org.medlardrum.decisions.memory;
