/**
 * Admission decisions for a service with too little free capacity: which requests wait,
 * which start next, which are refused, how much capacity less urgent work leaves free and
 * when a refused caller should return. Shared by streams and plain requests. Nothing here
 * reads a clock or does input or output; types are not thread-safe and belong to one
 * service at one host.
 */
package org.medlardrum.decisions.admission;
