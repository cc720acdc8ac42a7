package org.medlardrum.decisions.routing;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Versions of the configuration that the other hosts have in force. A store that was
 * restored from an older copy returns a configuration that is older than the accepted
 * one; only the other hosts can tell. After the first copy of a store's history, a
 * confirmation therefore counts once the other hosts have answered, or after a time limit
 * for hosts that cannot, and if none has a newer version. An earlier confirmation stays
 * valid when a newer version is accepted after it. Thread-safe.
 */
public final class PeerConfigVersions {

	/**
	 * Longest wait for the answers of the other hosts. They are asked again every 60 ms,
	 * as datagrams may be lost.
	 */
	public static final long MAX_WAIT_MS = 400;

	/**
	 * Time after the first copy of a history in which a newer version of another host
	 * shows that confirmations in this history are wrong. Later it is a version that was
	 * accepted after them. The operator writes again within this time.
	 */
	static final long RESTORE_WINDOW_MS = 10_000;

	private Set<String> peers = Set.of();

	private final Set<String> answered = new HashSet<>();

	private long awaitUntilMs = Long.MIN_VALUE;

	private long restoreWindowEndMs = Long.MIN_VALUE;

	private long highestVersion;

	/**
	 * Begins to wait for the other hosts.
	 * @param nowMs current time on the monotonic clock
	 */
	public synchronized void beginHistory(long nowMs) {
		this.answered.clear();
		this.awaitUntilMs = nowMs + MAX_WAIT_MS;
		this.restoreWindowEndMs = nowMs + RESTORE_WINDOW_MS;
	}

	/**
	 * Replaces the other hosts.
	 * @param hostIds their identifiers
	 */
	public synchronized void updatePeers(Collection<String> hostIds) {
		this.peers = Set.copyOf(hostIds);
	}

	/**
	 * Records the version that another host has in force.
	 * @param hostId identifier of the host
	 * @param version version of its configuration, 0 for none
	 * @return whether this version is the highest so far
	 */
	public synchronized boolean record(String hostId, long version) {
		this.answered.add(hostId);
		boolean higher = version > this.highestVersion;
		this.highestVersion = Math.max(this.highestVersion, version);
		return higher;
	}

	/**
	 * Returns whether answers of other hosts are still awaited.
	 * @param nowMs current time on the monotonic clock
	 * @return {@code true} if a confirmation does not count yet
	 */
	public synchronized boolean isAwaiting(long nowMs) {
		return nowMs < this.awaitUntilMs && !this.answered.containsAll(this.peers);
	}

	/**
	 * Returns whether a confirmation counts: other hosts could tell, and none told a
	 * newer version.
	 * @param ownVersion version of the configuration of this host
	 * @param nowMs current time on the monotonic clock
	 * @return {@code false} if the copy may be older than the accepted configuration
	 */
	public synchronized boolean allowsConfirmation(long ownVersion, long nowMs) {
		return !isAwaiting(nowMs) && ownVersion >= this.highestVersion;
	}

	/**
	 * Returns whether confirmations that counted are known to be wrong.
	 * @param ownVersion version of the configuration of this host
	 * @param nowMs current time on the monotonic clock
	 * @return {@code true} if another host told a newer version soon after the first copy
	 * of a history
	 */
	public synchronized boolean refutesConfirmations(long ownVersion, long nowMs) {
		return nowMs < this.restoreWindowEndMs && ownVersion < this.highestVersion;
	}

	/**
	 * Returns the highest version that another host has in force.
	 * @return the version, 0 for none
	 */
	public synchronized long highestVersion() {
		return this.highestVersion;
	}

}
