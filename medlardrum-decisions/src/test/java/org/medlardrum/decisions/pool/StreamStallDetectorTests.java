package org.medlardrum.decisions.pool;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against streams that are left at a stalled chain until they are late, and
 * against moves of streams that are slow because all are.
 */
class StreamStallDetectorTests {

	@Test
	void firstEventIsWaitedForUpToAPartOfItsTarget() {
		StreamStallDetector pauses = new StreamStallDetector(1_000, 500, 200);
		assertThat(pauses.hasBegun()).isFalse();
		assertThat(pauses.stallThresholdMs()).isEqualTo(275);
		assertThat(pauses.currentGapMs(1_100)).isEqualTo(100);
	}

	@ParameterizedTest
	@CsvSource({ "10, 90", "27, 90", "40, 100", "50, 125", "62, 155", "90, 225", "300, 250" })
	void unusualSilenceFollowsTheMeanPause(long pauseMs, long unusualMs) {
		StreamStallDetector pauses = new StreamStallDetector(0, 500, 200);
		for (int i = 1; i <= 10; i++) {
			pauses.recordEvent(i * pauseMs);
		}
		assertThat(pauses.stallThresholdMs()).isEqualTo(unusualMs);
	}

	@Test
	void fewEventsAreJudgedByTheTarget() {
		StreamStallDetector pauses = new StreamStallDetector(0, 500, 200);
		pauses.recordEvent(10);
		pauses.recordEvent(20);
		assertThat(pauses.stallThresholdMs()).isEqualTo(150);
		assertThat(pauses.suspectStallThresholdMs()).isEqualTo(150);
	}

	/**
	 * Replays the loss of an engine that other requests have found: 110 ms of silence and
	 * 100 ms at the next chain were too late for a target of 200 ms.
	 */
	@ParameterizedTest
	@CsvSource({ "10, 50", "40, 60", "50, 75", "90, 135", "300, 250" })
	void suspectEngineShortensTheWait(long pauseMs, long unusualMs) {
		StreamStallDetector pauses = new StreamStallDetector(0, 500, 200);
		assertThat(pauses.suspectStallThresholdMs()).isEqualTo(125);
		for (int i = 1; i <= 10; i++) {
			pauses.recordEvent(i * pauseMs);
		}
		assertThat(pauses.suspectStallThresholdMs()).isEqualTo(unusualMs);
	}

	/**
	 * Replays a suspicion that is heard 90 ms after the loss: one look at 65 ms missed
	 * it, and the next one came at 140 ms.
	 */
	@Test
	void silenceIsLookedAtAgainUntilItIsUnusual() {
		StreamStallDetector pauses = new StreamStallDetector(0, 500, 200);
		for (int i = 1; i <= 10; i++) {
			pauses.recordEvent(i * 40);
		}
		assertThat(pauses.nextCheckMs(60)).isEqualTo(20);
		assertThat(pauses.nextCheckMs(80)).isEqualTo(20);
		assertThat(pauses.nextCheckMs(95)).isEqualTo(5);
		assertThat(pauses.nextCheckMs(100)).isEqualTo(1);
	}

	@Test
	void routeWithoutATargetIsOnlyAsked() {
		StreamStallDetector pauses = new StreamStallDetector(0, 500, 0);
		for (int i = 1; i <= 10; i++) {
			pauses.recordEvent(i * 10);
		}
		assertThat(pauses.stallThresholdMs()).isEqualTo(StreamStallDetector.PROBE_AFTER_MS);
		assertThat(pauses.suspectStallThresholdMs()).isEqualTo(StreamStallDetector.PROBE_AFTER_MS);
	}

}
