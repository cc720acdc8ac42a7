package org.medlardrum.state;

/**
 * Cost of the link between two availability zones.
 *
 * @param fromAvailabilityZone zone of the sending stage
 * @param toAvailabilityZone zone of the receiving stage
 * @param latencyUs time for one activation, in microseconds
 */
public record LinkState(String fromAvailabilityZone, String toAvailabilityZone, long latencyUs) {
}
