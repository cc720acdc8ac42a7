package org.medlardrum.coordination.follow;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against confirmations whose parts, each short enough, together exceed the bound
 * of a change that only a confirmation detects.
 */
class ConfirmationScheduleTests {

	private static final long CALL_MS = 150;

	/** A question without an answer is followed by a read of the store. */
	private static final long AFTER_DUE_MS = PeerConfirmations.ANSWER_TIMEOUT_MS
			+ ConfirmationSchedule.CALLS_AFTER_DUE * CALL_MS;

	@ParameterizedTest
	@ValueSource(longs = { 1_400, 2_000, 2_500, 3_000, 4_000, 60_000 })
	void partsOfTheDelayOfAChangeStayWithinItsBound(long applyMs) {
		ConfirmationSchedule schedule = ConfirmationSchedule.within(applyMs, CALL_MS);
		assertThat(schedule.maxUnconfirmedMs() + AFTER_DUE_MS + ConfirmationSchedule.HOST_DELAY_MS).isAtMost(applyMs);
	}

	/**
	 * Plays the questions of a host to another one whose reads have any age, and a change
	 * at any time.
	 */
	@ParameterizedTest
	@CsvSource({ "2000, 1", "2000, 137", "2000, 675", "3000, 250", "4000, 1350" })
	void changeIsFoundInTimeWhateverTheAgesOfTheReads(long applyMs, long ageStepMs) {
		ConfirmationSchedule schedule = ConfirmationSchedule.within(applyMs, CALL_MS);
		for (long changedAtMs = 0; changedAtMs < 3 * applyMs; changedAtMs++) {
			long nowMs = 0;
			long readAtMs = 0;
			long ageMs = 0;
			while (readAtMs <= changedAtMs) {
				nowMs = readAtMs + schedule.maxUnconfirmedMs();
				ageMs = (ageMs + ageStepMs) % (schedule.maxReadAgeMs() + 1);
				readAtMs = nowMs - ageMs;
			}
			assertThat(nowMs - changedAtMs).isAtMost(applyMs - AFTER_DUE_MS - ConfirmationSchedule.HOST_DELAY_MS);
		}
	}

}
