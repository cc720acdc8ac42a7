package org.medlardrum.coordination.gossip;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.medlardrum.decisions.CrashLedger;
import org.medlardrum.decisions.FingerprintStatus;
import org.medlardrum.peer.gen.Rumour;
import org.medlardrum.peer.gen.RumourKind;

/**
 * Crash ledger of the gossip thread. Changes are made on that thread only; other threads
 * read the facts published last.
 */
final class SharedCrashLedger {

	private final CrashLedger ledger;

	private volatile Map<String, FingerprintStatus> published = Map.of();

	private boolean changed;

	SharedCrashLedger(long quarantineMs) {
		this.ledger = new CrashLedger(quarantineMs);
	}

	List<Rumour> crashed(String server, String bootId, Set<String> fingerprints, long nowMs) {
		this.changed = true;
		return this.ledger.recordCrash(server, bootId, fingerprints, nowMs)
			.stream()
			.map(SharedCrashLedger::rumour)
			.toList();
	}

	void quarantine(long quarantineMs) {
		this.ledger.setQuarantineMs(quarantineMs);
	}

	Optional<Rumour> completed(String fingerprint) {
		this.changed = true;
		return this.ledger.recordCompletion(fingerprint).map(SharedCrashLedger::rumour);
	}

	void merge(Rumour rumour, long nowMs) {
		FingerprintStatus.Kind kind = switch (rumour.getKind()) {
			case SUSPECT -> FingerprintStatus.Kind.SUSPECT;
			case QUARANTINED -> FingerprintStatus.Kind.QUARANTINED;
			case CLEARED, LEAVING -> FingerprintStatus.Kind.CLEARED;
		};
		this.ledger.merge(new FingerprintStatus(kind, rumour.getSubject(), rumour.getCount(), rumour.getUntilMs()),
				nowMs);
		this.changed = true;
	}

	private static Rumour rumour(FingerprintStatus fact) {
		RumourKind kind = switch (fact.kind()) {
			case SUSPECT -> RumourKind.SUSPECT;
			case QUARANTINED -> RumourKind.QUARANTINED;
			case CLEARED -> RumourKind.CLEARED;
		};
		return new Rumour(kind, fact.fingerprint(), fact.untilMs(), fact.crashes());
	}

	void expire(long nowMs) {
		this.ledger.expire(nowMs);
		this.changed = true;
	}

	void publish() {
		if (this.changed) {
			this.changed = false;
			Map<String, FingerprintStatus> facts = new HashMap<>();
			for (FingerprintStatus fact : this.ledger.entries()) {
				if (fact.kind() != FingerprintStatus.Kind.CLEARED) {
					facts.put(fact.fingerprint(), fact);
				}
			}
			this.published = Map.copyOf(facts);
		}
	}

	boolean isSuspect(String fingerprint) {
		return this.published.containsKey(fingerprint);
	}

	long quarantinedUntilMs(String fingerprint, long nowMs) {
		FingerprintStatus fact = this.published.get(fingerprint);
		boolean quarantined = fact != null && fact.kind() == FingerprintStatus.Kind.QUARANTINED
				&& fact.untilMs() > nowMs;
		return (quarantined) ? fact.untilMs() : 0;
	}

	Collection<FingerprintStatus> facts() {
		return this.published.values();
	}

}
