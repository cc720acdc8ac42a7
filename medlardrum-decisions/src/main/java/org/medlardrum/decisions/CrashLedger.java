package org.medlardrum.decisions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds the requests that crash the engines that run them.
 */
public final class CrashLedger {

	private static final int CRASHES_AS_ONLY_SUSPECT = 2;

	private static final int CRASHES_IN_COMPANY = 3;

	private final long quarantineMs;

	private final Map<String, CrashFact> facts = new HashMap<>();

	private final Set<String> countedCrashes = new HashSet<>();

	/**
	 * Creates an empty ledger.
	 * @param quarantineMs duration of a quarantine and of a suspicion, in milliseconds
	 */
	public CrashLedger(long quarantineMs) {
		if (quarantineMs <= 0) {
			throw new IllegalArgumentException("Quarantine of " + quarantineMs + " ms is not positive");
		}
		this.quarantineMs = quarantineMs;
	}

	/**
	 * Records the crash of an engine. Reports of the same crash after the first are
	 * ignored. The fingerprints are those whose current attempt ran on the engine; an
	 * attempt ends with the first crash on its chain.
	 * @param server id of the engine
	 * @param bootId boot id of the engine that crashed
	 * @param fingerprints requests in the engine's batch
	 * @param nowMs clock reading, in milliseconds
	 * @return facts that are new to peers
	 */
	public List<CrashFact> crashed(String server, String bootId, Set<String> fingerprints, long nowMs) {
		if (!this.countedCrashes.add(server + '/' + bootId)) {
			return List.of();
		}
		Set<String> formerSuspects = new HashSet<>(fingerprints);
		formerSuspects.removeIf((fingerprint) -> !isSuspect(fingerprint));
		List<CrashFact> changed = new ArrayList<>();
		for (String fingerprint : fingerprints) {
			CrashFact former = this.facts.get(fingerprint);
			int crashes = ((former != null) ? former.crashes() : 0) + 1;
			boolean onlySuspect = formerSuspects.size() == 1 && formerSuspects.contains(fingerprint);
			boolean guilty = crashes >= CRASHES_IN_COMPANY || (onlySuspect && crashes >= CRASHES_AS_ONLY_SUSPECT);
			CrashFact fact = new CrashFact((guilty) ? CrashFact.Kind.QUARANTINED : CrashFact.Kind.SUSPECT, fingerprint,
					crashes, nowMs + this.quarantineMs);
			this.facts.put(fingerprint, fact);
			changed.add(fact);
		}
		return changed;
	}

	/**
	 * Clears a suspect that completed.
	 * @param fingerprint fingerprint of the request
	 */
	public void completed(String fingerprint) {
		CrashFact fact = this.facts.get(fingerprint);
		if (fact != null && fact.kind() == CrashFact.Kind.SUSPECT) {
			this.facts.remove(fingerprint);
		}
	}

	/**
	 * Merges a fact from a peer. Facts may arrive late, twice and in any order.
	 * @param fact the peer's fact
	 * @param nowMs clock reading, in milliseconds
	 */
	public void merge(CrashFact fact, long nowMs) {
		if (fact.kind() == CrashFact.Kind.CLEARED) {
			completed(fact.fingerprint());
			return;
		}
		if (fact.untilMs() <= nowMs) {
			return;
		}
		CrashFact own = this.facts.get(fact.fingerprint());
		if (own == null || fact.kind().ordinal() > own.kind().ordinal()
				|| (fact.kind() == own.kind() && (fact.crashes() > own.crashes() || fact.untilMs() > own.untilMs()))) {
			this.facts.put(fact.fingerprint(), fact);
		}
	}

	/**
	 * Returns whether the request was present at a crash and has not completed since.
	 * @param fingerprint fingerprint of the request
	 * @return {@code true} for a suspect, quarantined or not
	 */
	public boolean isSuspect(String fingerprint) {
		return this.facts.containsKey(fingerprint);
	}

	/**
	 * Returns the end of the quarantine of a request.
	 * @param fingerprint fingerprint of the request
	 * @param nowMs clock reading, in milliseconds
	 * @return the end, in milliseconds, 0 when it is not in quarantine
	 */
	public long quarantinedUntilMs(String fingerprint, long nowMs) {
		CrashFact fact = this.facts.get(fingerprint);
		boolean quarantined = fact != null && fact.kind() == CrashFact.Kind.QUARANTINED && fact.untilMs() > nowMs;
		return (quarantined) ? fact.untilMs() : 0;
	}

	/**
	 * Forgets suspicions and quarantines that have ended.
	 * @param nowMs clock reading, in milliseconds
	 */
	public void expire(long nowMs) {
		for (Iterator<CrashFact> facts = this.facts.values().iterator(); facts.hasNext();) {
			if (facts.next().untilMs() <= nowMs) {
				facts.remove();
			}
		}
	}

	/**
	 * Returns all that is known, for peers and for the quarantine page.
	 * @return suspects and quarantined requests
	 */
	public List<CrashFact> entries() {
		return List.copyOf(this.facts.values());
	}

}
