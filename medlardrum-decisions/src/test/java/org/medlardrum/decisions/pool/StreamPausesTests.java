package org.medlardrum.decisions.pool;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against streams that are left at a stalled chain until they are late, and
 * against moves of streams that are slow because all are.
 */
class StreamPausesTests {

	@Test
	void firstEventThresholdIsAFractionOfItsTarget() {
		StreamPauses pauses = new StreamPauses(1_000, 500, 200);
		assertThat(pauses.hasBegun()).isFalse();
		assertThat(pauses.unusualMs()).isEqualTo(275);
		assertThat(pauses.silentMs(1_100)).isEqualTo(100);
	}

	@ParameterizedTest
	@CsvSource({ "10, 90", "27, 90", "40, 100", "50, 125", "62, 155", "90, 225", "300, 250" })
	void thresholdFollowsTheMeanGap(long pauseMs, long unusualMs) {
		StreamPauses pauses = new StreamPauses(0, 500, 200);
		for (int i = 1; i <= 10; i++) {
			pauses.event(i * pauseMs);
		}
		assertThat(pauses.unusualMs()).isEqualTo(unusualMs);
	}

	@Test
	void thresholdFollowsTheTargetWithFewEvents() {
		StreamPauses pauses = new StreamPauses(0, 500, 200);
		pauses.event(10);
		pauses.event(20);
		assertThat(pauses.unusualMs()).isEqualTo(150);
		assertThat(pauses.unusualWithSuspectMs()).isEqualTo(150);
	}

	/**
	 * Replays the loss of an engine that other requests have found: 110 ms of silence and
	 * 100 ms at the next chain were too late for a target of 200 ms.
	 */
	@ParameterizedTest
	@CsvSource({ "10, 50", "40, 60", "50, 75", "90, 135", "300, 250" })
	void suspectEngineLowersTheThreshold(long pauseMs, long unusualMs) {
		StreamPauses pauses = new StreamPauses(0, 500, 200);
		assertThat(pauses.unusualWithSuspectMs()).isEqualTo(125);
		for (int i = 1; i <= 10; i++) {
			pauses.event(i * pauseMs);
		}
		assertThat(pauses.unusualWithSuspectMs()).isEqualTo(unusualMs);
	}

	/**
	 * Replays a suspicion that is heard 90 ms after the loss: one look at 65 ms missed
	 * it, and the next one came at 140 ms.
	 */
	@Test
	void checkIntervalEndsAtTheThreshold() {
		StreamPauses pauses = new StreamPauses(0, 500, 200);
		for (int i = 1; i <= 10; i++) {
			pauses.event(i * 40);
		}
		assertThat(pauses.lookAgainMs(60)).isEqualTo(20);
		assertThat(pauses.lookAgainMs(80)).isEqualTo(20);
		assertThat(pauses.lookAgainMs(95)).isEqualTo(5);
		assertThat(pauses.lookAgainMs(100)).isEqualTo(1);
	}

	@Test
	void routeWithoutAGapTargetUsesTheProbeThreshold() {
		StreamPauses pauses = new StreamPauses(0, 500, 0);
		for (int i = 1; i <= 10; i++) {
			pauses.event(i * 10);
		}
		assertThat(pauses.unusualMs()).isEqualTo(StreamPauses.ASK_AFTER_MS);
		assertThat(pauses.unusualWithSuspectMs()).isEqualTo(StreamPauses.ASK_AFTER_MS);
	}

}
