package org.medlardrum.decisions;

import java.util.Set;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against blaming requests that only shared an engine with a crashing one.
 */
class CrashLedgerTests {

	private final CrashLedger ledger = new CrashLedger(600_000);

	@Test
	void quarantinesTheOnlyFormerSuspectAtItsSecondCrash() {
		this.ledger.crashed("a", "1", Set.of("bad", "neighbour"), 0);
		this.ledger.crashed("b", "1", Set.of("bad", "later"), 10);
		assertThat(this.ledger.quarantinedUntilMs("bad", 20)).isEqualTo(600_010);
		assertThat(this.ledger.quarantinedUntilMs("neighbour", 20)).isEqualTo(0);
		assertThat(this.ledger.quarantinedUntilMs("later", 20)).isEqualTo(0);
	}

}
