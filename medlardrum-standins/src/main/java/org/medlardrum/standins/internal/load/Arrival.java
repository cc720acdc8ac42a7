package org.medlardrum.standins.internal.load;

/**
 * A scheduled request.
 *
 * @param number number of the request, from 1
 * @param atNs scheduled start, in nanoseconds since the start of the run
 * @param phase phase that contains the scheduled start
 * @param route kind of the request
 */
record Arrival(long number, long atNs, Phase phase, MixRoute route) {
}
