/**
 * Admission control: the request queues of all pools and the thread that owns them.
 */
package org.medlardrum.entry.internal.admission;
