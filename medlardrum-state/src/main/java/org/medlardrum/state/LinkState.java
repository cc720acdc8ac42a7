package org.medlardrum.state;

/**
 * Latency of the link between two availability zones.
 *
 * @param fromAvailabilityZone availability zone of the sending stage
 * @param toAvailabilityZone availability zone of the receiving stage
 * @param latencyUs time to transfer one activation, in microseconds
 */
public record LinkState(String fromAvailabilityZone, String toAvailabilityZone, long latencyUs) {
}
