package org.medlardrum.decisions.routing;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against sends beyond the limits of a route, after the deadline and after the end
 * of a request.
 */
class AttemptLedgerTests {

	private static final long DEADLINE_MS = 1_000;

	private static AttemptLedger ledger(int maxServers, int maxSends, boolean idempotent) {
		return new AttemptLedger(new AttemptLimits(maxServers, maxSends, idempotent), DEADLINE_MS);
	}

	@ParameterizedTest
	@CsvSource({ "1, true", "2, true", "3, true", "2, false" })
	void serversCountUntilTheyProveThatTheyDidNotExecuteTheRequest(int maxServers, boolean idempotent) {
		AttemptLedger ledger = ledger(maxServers, 100, idempotent);
		int allowed = (idempotent) ? maxServers : 1;
		for (int i = 0; i < allowed; i++) {
			assertThat(ledger.trySend(0)).isEmpty();
		}
		SendDenial expected = (idempotent) ? SendDenial.SERVER_LIMIT : SendDenial.NOT_IDEMPOTENT;
		assertThat(ledger.trySend(0)).hasValue(expected);
		ledger.recordNotExecuted();
		assertThat(ledger.trySend(0)).isEmpty();
		assertThat(ledger.trySend(0)).hasValue(expected);
		assertThat(ledger.possibleExecutions()).isEqualTo(allowed);
	}

	@Test
	void refusalsCountAsSends() {
		AttemptLedger ledger = ledger(2, 3, true);
		for (int i = 0; i < 3; i++) {
			assertThat(ledger.trySend(0)).isEmpty();
			ledger.recordNotExecuted();
		}
		assertThat(ledger.trySend(0)).hasValue(SendDenial.SEND_LIMIT);
		assertThat(ledger.sends()).isEqualTo(3);
		assertThat(ledger.possibleExecutions()).isEqualTo(0);
	}

	@ParameterizedTest
	@CsvSource({ "999, true", "1000, false", "5000, false" })
	void nothingIsSentOrWrittenAfterTheDeadline(long nowMs, boolean allowed) {
		AttemptLedger ledger = ledger(2, 6, true);
		assertThat(ledger.trySend(nowMs).isEmpty()).isEqualTo(allowed);
		assertThat(ledger.mayWrite(nowMs)).isEqualTo(allowed);
		assertThat(ledger.sends()).isEqualTo((allowed) ? 1 : 0);
	}

	@Test
	void nothingIsSentOrWrittenAfterTheEnd() {
		AttemptLedger ledger = ledger(2, 6, true);
		assertThat(ledger.trySend(0)).isEmpty();
		ledger.end();
		assertThat(ledger.trySend(0)).hasValue(SendDenial.ENDED);
		assertThat(ledger.mayWrite(0)).isFalse();
	}

	@Test
	void proofWithoutACountedServerIsRejected() {
		assertThat(isRejected(() -> ledger(2, 6, true).recordNotExecuted())).isTrue();
	}

	@ParameterizedTest
	@CsvSource({ "0, 1", "1, 0" })
	void limitsBelowOneAreRejected(int maxServers, int maxSends) {
		assertThat(isRejected(() -> new AttemptLimits(maxServers, maxSends, true))).isTrue();
	}

	private static boolean isRejected(Runnable call) {
		try {
			call.run();
			return false;
		}
		catch (IllegalArgumentException | IllegalStateException ex) {
			return true;
		}
	}

}
