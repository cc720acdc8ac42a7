package org.medlardrum.state.config;

/**
 * Latency of the link between two availability zones, both directions.
 *
 * @param from availability zone
 * @param to availability zone
 * @param latencyUs time for one activation, in microseconds
 */
public record LinkConfig(String from, String to, long latencyUs) {
}
