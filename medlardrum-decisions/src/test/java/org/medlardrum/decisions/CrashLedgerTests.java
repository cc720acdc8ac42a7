package org.medlardrum.decisions;

import java.util.List;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against quarantine of requests that were only in the same batch as a request
 * that crashes engines, and against further crashes by a request that should be
 * quarantined.
 */
class CrashLedgerTests {

	private static final long QUARANTINE_MS = 600_000;

	private final CrashLedger ledger = new CrashLedger(QUARANTINE_MS);

	@Test
	void quarantinesTheOnlyFormerSuspectAtItsSecondCrashAndClearsTheOthersInTheBatch() {
		this.ledger.recordCrash("a", "1", Set.of("bad", "neighbour"), 0);
		assertThat(this.ledger.isSuspect("neighbour")).isTrue();
		List<FingerprintStatus> changed = this.ledger.recordCrash("b", "1", Set.of("bad", "later"), 10);
		assertThat(this.ledger.quarantinedUntilMs("bad", 20)).isEqualTo(10 + QUARANTINE_MS);
		assertThat(this.ledger.isSuspect("neighbour")).isFalse();
		assertThat(this.ledger.isSuspect("later")).isFalse();
		assertThat(changed).containsExactly(
				new FingerprintStatus(FingerprintStatus.Kind.QUARANTINED, "bad", 2, 10 + QUARANTINE_MS),
				new FingerprintStatus(FingerprintStatus.Kind.CLEARED, "neighbour", 0, QUARANTINE_MS),
				new FingerprintStatus(FingerprintStatus.Kind.CLEARED, "later", 0, 10 + QUARANTINE_MS));
	}

	@Test
	void decidesBetweenTwoFormerSuspectsOnlyAtTheThirdCrash() {
		this.ledger.recordCrash("a", "1", Set.of("bad", "unlucky"), 0);
		this.ledger.recordCrash("b", "1", Set.of("bad", "unlucky"), 10);
		assertThat(this.ledger.quarantinedUntilMs("bad", 20)).isEqualTo(0);
		this.ledger.recordCrash("c", "1", Set.of("bad"), 20);
		assertThat(this.ledger.quarantinedUntilMs("bad", 30)).isGreaterThan(0L);
		assertThat(this.ledger.isSuspect("unlucky")).isFalse();
	}

	@Test
	void countsEachCrashOnceAndRestartsOfOneServerSeparately() {
		this.ledger.recordCrash("a", "1", Set.of("bad"), 0);
		this.ledger.recordCrash("a", "1", Set.of("bad"), 5);
		assertThat(this.ledger.quarantinedUntilMs("bad", 10)).isEqualTo(0);
		this.ledger.recordCrash("a", "2", Set.of("bad"), 10);
		assertThat(this.ledger.quarantinedUntilMs("bad", 20)).isGreaterThan(0L);
	}

	@Test
	void forgetsTheCrashesOfASuspectThatCompleted() {
		this.ledger.recordCrash("a", "1", Set.of("innocent", "bad"), 0);
		assertThat(this.ledger.recordCompletion("innocent")).isPresent();
		this.ledger.recordCrash("b", "1", Set.of("innocent"), 10);
		assertThat(this.ledger.quarantinedUntilMs("innocent", 20)).isEqualTo(0);
		this.ledger.recordCrash("c", "1", Set.of("bad"), 20);
		assertThat(this.ledger.isSuspect("innocent")).isTrue();
		assertThat(this.ledger.recordCompletion("bad")).isEmpty();
		assertThat(this.ledger.quarantinedUntilMs("bad", 30)).isGreaterThan(0L);
	}

	@Test
	void suspectsNoOtherRequestAfterACrashWithAQuarantinedOne() {
		this.ledger.merge(new FingerprintStatus(FingerprintStatus.Kind.QUARANTINED, "bad", 3, 1000), 0);
		this.ledger.recordCrash("a", "1", Set.of("bad", "neighbour"), 10);
		assertThat(this.ledger.isSuspect("neighbour")).isFalse();
	}

	@Test
	void endsQuarantinesAndCapsThoseOfPeersWithAFastClock() {
		this.ledger.merge(new FingerprintStatus(FingerprintStatus.Kind.QUARANTINED, "bad", 3, 10 * QUARANTINE_MS), 0);
		assertThat(this.ledger.quarantinedUntilMs("bad", 1)).isEqualTo(QUARANTINE_MS);
		assertThat(this.ledger.quarantinedUntilMs("bad", QUARANTINE_MS)).isEqualTo(0);
		this.ledger.expire(QUARANTINE_MS);
		assertThat(this.ledger.entries()).isEmpty();
	}

	@Test
	void ignoresALateSuspicionOfAClearedRequestButNotANewOne() {
		this.ledger.recordCrash("a", "1", Set.of("innocent"), 0);
		FingerprintStatus late = this.ledger.entries().get(0);
		this.ledger.recordCompletion("innocent");
		this.ledger.merge(late, 10);
		assertThat(this.ledger.isSuspect("innocent")).isFalse();
		assertThat(this.ledger.entries()).isEmpty();
		this.ledger.merge(new FingerprintStatus(FingerprintStatus.Kind.SUSPECT, "innocent", 1, QUARANTINE_MS + 5), 10);
		assertThat(this.ledger.isSuspect("innocent")).isTrue();
	}

	@Test
	void addsACrashToThoseThatPeersReport() {
		this.ledger.merge(new FingerprintStatus(FingerprintStatus.Kind.SUSPECT, "bad", 1, 1000), 0);
		this.ledger.recordCrash("a", "1", Set.of("bad", "new"), 10);
		assertThat(this.ledger.quarantinedUntilMs("bad", 20)).isGreaterThan(0L);
	}

	@Property(tries = 200)
	void mergesToTheSameStatusesInAnyOrder(@ForAll List<@IntRange(min = 0, max = 26) Integer> codes) {
		CrashLedger forwards = new CrashLedger(QUARANTINE_MS);
		CrashLedger backwards = new CrashLedger(QUARANTINE_MS);
		for (int i = 0; i < codes.size(); i++) {
			forwards.merge(status(codes.get(i)), 0);
			backwards.merge(status(codes.get(codes.size() - 1 - i)), 0);
		}
		assertThat(forwards.entries()).isEqualTo(backwards.entries());
	}

	private static FingerprintStatus status(int code) {
		FingerprintStatus.Kind kind = FingerprintStatus.Kind.values()[code % 3];
		int crashes = (kind == FingerprintStatus.Kind.CLEARED) ? 0 : 1 + code / 3 % 3;
		return new FingerprintStatus(kind, "f", crashes, 100 + code / 9);
	}

}
