package org.medlardrum.entry.internal.fleet;

/**
 * Settings of the fleet thread.
 *
 * @param hostId name of this host
 * @param availabilityZone availability zone of this host
 * @param pollIntervalMs time between polls of a server in this host's share
 * @param pollTimeoutMs longest poll
 */
public record FleetOptions(String hostId, String availabilityZone, long pollIntervalMs, long pollTimeoutMs) {
}
