package org.medlardrum.standins.internal.load;

/**
 * A planned request.
 *
 * @param number number of the request, from 1
 * @param atNs intended start, in nanoseconds after the start of the run
 * @param phase phase of the intended start
 * @param route kind of the request
 */
record Arrival(long number, long atNs, Phase phase, MixRoute route) {
}
