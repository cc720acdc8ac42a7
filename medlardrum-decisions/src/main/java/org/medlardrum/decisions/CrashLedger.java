package org.medlardrum.decisions;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the requests that crash the engines that run them. Each request in the batch of a
 * crashed engine becomes a suspect until it completes. A fingerprint that was the only
 * former suspect at its second crash, or is present at three crashes, is quarantined. The
 * crashes of a quarantined fingerprint no longer count against the requests beside it.
 */
public final class CrashLedger {

	private static final int CRASHES_AS_ONLY_SUSPECT = 2;

	private static final int CRASHES_IN_COMPANY = 3;

	// A total order makes hosts agree in whatever order they hear the facts.
	private static final Comparator<FingerprintStatus> MERGE_ORDER = Comparator
		.comparing((FingerprintStatus fact) -> fact.kind() == FingerprintStatus.Kind.QUARANTINED)
		.thenComparing(FingerprintStatus::untilMs)
		.thenComparing((fact) -> fact.kind() == FingerprintStatus.Kind.CLEARED)
		.thenComparing(FingerprintStatus::crashes);

	private long quarantineMs;

	private final Map<String, FingerprintStatus> facts = new HashMap<>();

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
	 * @param value the duration, in milliseconds
	 */
	public void setQuarantineMs(long value) {
		if (value <= 0) {
			throw new IllegalArgumentException("Quarantine of " + value + " ms is not positive");
		}
		this.quarantineMs = value;
	}

	/**
	 * Records the crash of an engine. Reports of the same crash after the first are
	 * ignored. The fingerprints are those whose current attempt ran on the engine; an
	 * attempt ends with the first crash on its chain, so that one failure that stops
	 * several engines of a chain counts once.
	 * @param server id of the engine
	 * @param bootId boot id of the engine that crashed
	 * @param fingerprints requests in the engine's batch
	 * @param nowMs clock reading, in milliseconds
	 * @return changed facts, for peers
	 */
	public List<FingerprintStatus> recordCrash(String server, String bootId, Set<String> fingerprints, long nowMs) {
		expire(nowMs);
		Crash crash = new Crash(new HashSet<>(fingerprints), nowMs);
		if (this.crashes.putIfAbsent(server + '/' + bootId, crash) != null) {
			return List.of();
		}
		if (fingerprints.stream().anyMatch((fingerprint) -> is(FingerprintStatus.Kind.QUARANTINED, fingerprint))) {
			crash.explained = true;
			return List.of();
		}
		List<String> formerSuspects = fingerprints.stream().filter(this::isSuspect).toList();
		Set<String> changed = new HashSet<>(fingerprints);
		Set<String> quarantined = new HashSet<>();
		for (String fingerprint : fingerprints) {
			int count = count(fingerprint) + 1;
			boolean onlySuspect = formerSuspects.equals(List.of(fingerprint));
			boolean guilty = count >= CRASHES_IN_COMPANY || (onlySuspect && count >= CRASHES_AS_ONLY_SUSPECT);
			if (guilty) {
				quarantined.add(fingerprint);
			}
			put((guilty) ? FingerprintStatus.Kind.QUARANTINED : FingerprintStatus.Kind.SUSPECT, fingerprint, count,
					nowMs + this.quarantineMs);
		}
		quarantined.forEach((fingerprint) -> changed.addAll(exonerateNeighbours(fingerprint)));
		return changed.stream().map(this.facts::get).toList();
	}

	private Set<String> exonerateNeighbours(String quarantined) {
		Set<String> changed = new HashSet<>();
		for (Crash crash : this.crashes.values()) {
			if (crash.explained || !crash.fingerprints.contains(quarantined)) {
				continue;
			}
			crash.explained = true;
			for (String neighbour : crash.fingerprints) {
				FingerprintStatus fact = this.facts.get(neighbour);
				if (is(FingerprintStatus.Kind.SUSPECT, neighbour)) {
					int count = fact.crashes() - 1;
					put((count > 0) ? FingerprintStatus.Kind.SUSPECT : FingerprintStatus.Kind.CLEARED, neighbour, count,
							fact.untilMs());
					changed.add(neighbour);
				}
			}
		}
		return changed;
	}

	/**
	 * Clears a suspect that completed. A quarantine stays, because other copies of the
	 * request crashed engines.
	 * @param fingerprint fingerprint of the request
	 * @return the changed fact, for peers; empty when the request was no suspect
	 */
	public Optional<FingerprintStatus> recordCompletion(String fingerprint) {
		FingerprintStatus fact = this.facts.get(fingerprint);
		if (!is(FingerprintStatus.Kind.SUSPECT, fingerprint)) {
			return Optional.empty();
		}
		put(FingerprintStatus.Kind.CLEARED, fingerprint, 0, fact.untilMs());
		this.crashes.values().forEach((crash) -> crash.fingerprints.remove(fingerprint));
		return Optional.of(this.facts.get(fingerprint));
	}

	/**
	 * Merges a fact from a peer. Facts may arrive late, twice and in any order: a
	 * quarantine wins, then the later end, then clearing over suspicion, then the higher
	 * count.
	 * @param fact the peer's fact
	 * @param nowMs clock reading, in milliseconds
	 */
	public void merge(FingerprintStatus fact, long nowMs) {
		expire(nowMs);
		if (fact.untilMs() <= nowMs) {
			return;
		}
		// A peer's fast clock must not prolong a quarantine.
		FingerprintStatus capped = new FingerprintStatus(fact.kind(), fact.fingerprint(), fact.crashes(),
				Math.min(fact.untilMs(), nowMs + this.quarantineMs));
		FingerprintStatus own = this.facts.get(fact.fingerprint());
		if (own == null || MERGE_ORDER.compare(capped, own) > 0) {
			this.facts.put(fact.fingerprint(), capped);
			if (capped.kind() == FingerprintStatus.Kind.QUARANTINED) {
				exonerateNeighbours(fact.fingerprint());
			}
		}
	}

	/**
	 * Returns whether the request was present at a crash and has not completed since.
	 * @param fingerprint fingerprint of the request
	 * @return {@code true} for a suspect, quarantined or not
	 */
	public boolean isSuspect(String fingerprint) {
		return is(FingerprintStatus.Kind.SUSPECT, fingerprint) || is(FingerprintStatus.Kind.QUARANTINED, fingerprint);
	}

	/**
	 * Returns the end of the quarantine of a request.
	 * @param fingerprint fingerprint of the request
	 * @param nowMs clock reading, in milliseconds
	 * @return the end, in milliseconds, 0 when it is not in quarantine
	 */
	public long quarantinedUntilMs(String fingerprint, long nowMs) {
		FingerprintStatus fact = this.facts.get(fingerprint);
		boolean quarantined = is(FingerprintStatus.Kind.QUARANTINED, fingerprint) && fact.untilMs() > nowMs;
		return (quarantined) ? fact.untilMs() : 0;
	}

	/**
	 * Forgets facts that have ended. Recording and merging do this, too.
	 * @param nowMs clock reading, in milliseconds
	 */
	public void expire(long nowMs) {
		this.facts.values().removeIf((fact) -> fact.untilMs() <= nowMs);
		this.crashes.values().removeIf((crash) -> crash.atMs + this.quarantineMs <= nowMs);
	}

	/**
	 * Returns the requests under suspicion or in quarantine, for peers and for the
	 * quarantine page. Cleared ones are returned only by {@link #recordCrash} and
	 * {@link #recordCompletion}.
	 * @return suspects and quarantined requests
	 */
	public List<FingerprintStatus> entries() {
		return this.facts.values().stream().filter((fact) -> fact.kind() != FingerprintStatus.Kind.CLEARED).toList();
	}

	private boolean is(FingerprintStatus.Kind kind, String fingerprint) {
		FingerprintStatus fact = this.facts.get(fingerprint);
		return fact != null && fact.kind() == kind;
	}

	private int count(String fingerprint) {
		FingerprintStatus fact = this.facts.get(fingerprint);
		return (fact != null) ? fact.crashes() : 0;
	}

	private void put(FingerprintStatus.Kind kind, String fingerprint, int crashes, long untilMs) {
		this.facts.put(fingerprint, new FingerprintStatus(kind, fingerprint, crashes, untilMs));
	}

	private static final class Crash {

		private final Set<String> fingerprints;

		private final long atMs;

		private boolean explained;

		Crash(Set<String> fingerprints, long atMs) {
			this.fingerprints = fingerprints;
			this.atMs = atMs;
		}

	}

}
