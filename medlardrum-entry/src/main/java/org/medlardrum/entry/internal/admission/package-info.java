/**
 * Admission of requests: the queues of all pools and the thread that owns them.
 */
package org.medlardrum.entry.internal.admission;
