package org.medlardrum.decisions;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Identifies requests that crash the engines that run them. Each request in the batch of
 * a crashed engine becomes a suspect until it completes. A fingerprint is quarantined at
 * its second crash if it was the only earlier suspect in the batch, and otherwise at its
 * third crash. Crashes with a quarantined fingerprint are attributed to it and no longer
 * count for the other requests of the batch.
 */
public final class CrashLedger {

	private static final int CRASHES_AS_ONLY_SUSPECT = 2;

	private static final int CRASHES_WITH_OTHER_SUSPECTS = 3;

	// A total order, so that hosts converge regardless of the order in which they receive
	// statuses.
	private static final Comparator<FingerprintStatus> MERGE_PRECEDENCE = Comparator
		.comparing((FingerprintStatus status) -> status.kind() == FingerprintStatus.Kind.QUARANTINED)
		.thenComparing(FingerprintStatus::untilMs)
		.thenComparing((status) -> status.kind() == FingerprintStatus.Kind.CLEARED)
		.thenComparing(FingerprintStatus::crashes);

	private long quarantineMs;

	private final Map<String, FingerprintStatus> statuses = new HashMap<>();

	private final Map<String, Crash> crashes = new HashMap<>();

	/**
	 * Creates an empty ledger.
	 * @param quarantineMs duration of a quarantine and of a suspicion, in milliseconds
	 */
	public CrashLedger(long quarantineMs) {
		setQuarantineMs(quarantineMs);
	}

	/**
	 * Sets the duration of later quarantines and suspicions.
	 * @param quarantineMs the duration, in milliseconds
	 */
	public void setQuarantineMs(long quarantineMs) {
		if (quarantineMs <= 0) {
			throw new IllegalArgumentException("Quarantine duration is " + quarantineMs + " ms; it must be positive");
		}
		this.quarantineMs = quarantineMs;
	}

	/**
	 * Records the crash of an engine. Later reports of the same crash are ignored. The
	 * fingerprints are those whose current attempt ran on the engine; an attempt ends
	 * with the first crash on its chain, so that one failure that stops several engines
	 * of a chain counts once.
	 * @param server identifier of the engine
	 * @param bootId boot identifier of the engine that crashed
	 * @param fingerprints requests in the engine's batch
	 * @param nowMs current time, in milliseconds
	 * @return changed statuses, to be sent to peers
	 */
	public List<FingerprintStatus> recordCrash(String server, String bootId, Set<String> fingerprints, long nowMs) {
		expire(nowMs);
		Crash crash = new Crash(new HashSet<>(fingerprints), nowMs);
		if (this.crashes.putIfAbsent(server + '/' + bootId, crash) != null) {
			return List.of();
		}
		if (fingerprints.stream().anyMatch((fingerprint) -> hasKind(FingerprintStatus.Kind.QUARANTINED, fingerprint))) {
			crash.attributed = true;
			return List.of();
		}
		List<String> formerSuspects = fingerprints.stream().filter(this::isSuspect).toList();
		Set<String> changed = new HashSet<>(fingerprints);
		Set<String> quarantined = new HashSet<>();
		for (String fingerprint : fingerprints) {
			int count = crashCount(fingerprint) + 1;
			boolean onlySuspect = formerSuspects.equals(List.of(fingerprint));
			boolean quarantine = count >= CRASHES_WITH_OTHER_SUSPECTS
					|| (onlySuspect && count >= CRASHES_AS_ONLY_SUSPECT);
			if (quarantine) {
				quarantined.add(fingerprint);
			}
			put((quarantine) ? FingerprintStatus.Kind.QUARANTINED : FingerprintStatus.Kind.SUSPECT, fingerprint, count,
					nowMs + this.quarantineMs);
		}
		quarantined.forEach((fingerprint) -> changed.addAll(attributeCrashes(fingerprint)));
		return changed.stream().map(this.statuses::get).toList();
	}

	private Set<String> attributeCrashes(String quarantined) {
		Set<String> changed = new HashSet<>();
		for (Crash crash : this.crashes.values()) {
			if (crash.attributed || !crash.fingerprints.contains(quarantined)) {
				continue;
			}
			crash.attributed = true;
			for (String other : crash.fingerprints) {
				FingerprintStatus status = this.statuses.get(other);
				if (hasKind(FingerprintStatus.Kind.SUSPECT, other)) {
					int count = status.crashes() - 1;
					put((count > 0) ? FingerprintStatus.Kind.SUSPECT : FingerprintStatus.Kind.CLEARED, other, count,
							status.untilMs());
					changed.add(other);
				}
			}
		}
		return changed;
	}

	/**
	 * Clears a suspect that completed. A quarantine remains, because other copies of the
	 * request crashed engines.
	 * @param fingerprint fingerprint of the request
	 * @return the changed status, to be sent to peers; empty when the request was not a
	 * suspect
	 */
	public Optional<FingerprintStatus> recordCompletion(String fingerprint) {
		FingerprintStatus status = this.statuses.get(fingerprint);
		if (!hasKind(FingerprintStatus.Kind.SUSPECT, fingerprint)) {
			return Optional.empty();
		}
		put(FingerprintStatus.Kind.CLEARED, fingerprint, 0, status.untilMs());
		this.crashes.values().forEach((crash) -> crash.fingerprints.remove(fingerprint));
		return Optional.of(this.statuses.get(fingerprint));
	}

	/**
	 * Merges a status from a peer. Statuses may arrive late, repeatedly and in any order.
	 * A quarantine takes precedence, then the later end, then clearing over suspicion,
	 * then the higher number of crashes.
	 * @param status the peer's status
	 * @param nowMs current time, in milliseconds
	 */
	public void merge(FingerprintStatus status, long nowMs) {
		expire(nowMs);
		if (status.untilMs() <= nowMs) {
			return;
		}
		// A peer whose clock is ahead must not prolong a quarantine.
		FingerprintStatus capped = new FingerprintStatus(status.kind(), status.fingerprint(), status.crashes(),
				Math.min(status.untilMs(), nowMs + this.quarantineMs));
		FingerprintStatus own = this.statuses.get(status.fingerprint());
		if (own == null || MERGE_PRECEDENCE.compare(capped, own) > 0) {
			this.statuses.put(status.fingerprint(), capped);
			if (capped.kind() == FingerprintStatus.Kind.QUARANTINED) {
				attributeCrashes(status.fingerprint());
			}
		}
	}

	/**
	 * Returns whether the request was in the batch of a crashed engine and has not
	 * completed since.
	 * @param fingerprint fingerprint of the request
	 * @return {@code true} for a suspect, quarantined or not
	 */
	public boolean isSuspect(String fingerprint) {
		return hasKind(FingerprintStatus.Kind.SUSPECT, fingerprint)
				|| hasKind(FingerprintStatus.Kind.QUARANTINED, fingerprint);
	}

	/**
	 * Returns the end of the quarantine of a request.
	 * @param fingerprint fingerprint of the request
	 * @param nowMs current time, in milliseconds
	 * @return the end, in milliseconds, 0 when it is not in quarantine
	 */
	public long quarantinedUntilMs(String fingerprint, long nowMs) {
		FingerprintStatus status = this.statuses.get(fingerprint);
		boolean quarantined = hasKind(FingerprintStatus.Kind.QUARANTINED, fingerprint) && status.untilMs() > nowMs;
		return (quarantined) ? status.untilMs() : 0;
	}

	/**
	 * Removes statuses that have ended. {@link #recordCrash} and {@link #merge} do this,
	 * too.
	 * @param nowMs current time, in milliseconds
	 */
	public void expire(long nowMs) {
		this.statuses.values().removeIf((status) -> status.untilMs() <= nowMs);
		this.crashes.values().removeIf((crash) -> crash.atMs + this.quarantineMs <= nowMs);
	}

	/**
	 * Returns the suspects and the quarantined requests, for peers and for the quarantine
	 * page. Cleared ones are returned only by {@link #recordCrash} and
	 * {@link #recordCompletion}.
	 * @return suspects and quarantined requests
	 */
	public List<FingerprintStatus> entries() {
		return this.statuses.values()
			.stream()
			.filter((status) -> status.kind() != FingerprintStatus.Kind.CLEARED)
			.toList();
	}

	private boolean hasKind(FingerprintStatus.Kind kind, String fingerprint) {
		FingerprintStatus status = this.statuses.get(fingerprint);
		return status != null && status.kind() == kind;
	}

	private int crashCount(String fingerprint) {
		FingerprintStatus status = this.statuses.get(fingerprint);
		return (status != null) ? status.crashes() : 0;
	}

	private void put(FingerprintStatus.Kind kind, String fingerprint, int crashes, long untilMs) {
		this.statuses.put(fingerprint, new FingerprintStatus(kind, fingerprint, crashes, untilMs));
	}

	private static final class Crash {

		private final Set<String> fingerprints;

		private final long atMs;

		private boolean attributed;

		Crash(Set<String> fingerprints, long atMs) {
			this.fingerprints = fingerprints;
			this.atMs = atMs;
		}

	}

}
