package org.medlardrum.entry.internal.fleet;

/**
 * Options of the fleet thread.
 *
 * @param hostId name of this host
 * @param availabilityZone availability zone of this host
 * @param pollIntervalMs interval between polls of a server assigned to this host
 * @param pollTimeoutMs timeout of a poll
 */
public record FleetOptions(String hostId, String availabilityZone, long pollIntervalMs, long pollTimeoutMs) {
}
