package org.medlardrum.state.config;

/**
 * Latency of the link between two availability zones, in both directions.
 *
 * @param from one availability zone
 * @param to the other availability zone
 * @param latencyUs time to transfer one activation, in microseconds
 */
public record LinkConfig(String from, String to, long latencyUs) {
}
