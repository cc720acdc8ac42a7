package org.medlardrum.decisions.routing;

import java.util.ArrayDeque;
import java.util.Deque;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Replays a flood at a server that refuses with a time to come back. Guards against
 * requests during the pause, and against all of them at its end.
 */
class ServerPausesTests {

	private static final String SERVER = "s1";

	/** Limit of requests between half a second after the refusal and the end. */
	private static final int MAX_ARRIVALS_IN_PAUSE = 2;

	private final ServerPauses pauses = new ServerPauses();

	@ParameterizedTest
	@CsvSource({ "1, 400", "5, 2000", "20, 2000", "5, 60000" })
	void floodFindsAtMostTwoRequestsInThePause(long intervalMs, long pauseMs) {
		this.pauses.recordPause(SERVER, pauseMs, 0);
		int arrivals = 0;
		for (long nowMs = 0; nowMs < pauseMs; nowMs += intervalMs) {
			arrivals += (this.pauses.mayReceive(SERVER, nowMs)) ? 1 : 0;
		}
		assertThat(arrivals).isAtMost(MAX_ARRIVALS_IN_PAUSE);
		assertThat(this.pauses.mayReceive(SERVER, pauseMs)).isTrue();
	}

	@Test
	void eachAnswerAfterThePauseDoublesWhatMayBeOutstanding() {
		this.pauses.recordPause(SERVER, 2_000, 0);
		assertThat(sendAll(2_000)).isEqualTo(1);
		this.pauses.recordAnswer(SERVER, 2_010);
		assertThat(sendAll(2_010)).isEqualTo(1);
		this.pauses.recordAnswer(SERVER, 2_020);
		assertThat(sendAll(2_020)).isEqualTo(2);
		this.pauses.recordAnswer(SERVER, 2_030);
		assertThat(sendAll(2_030)).isEqualTo(4);
		this.pauses.recordAnswer(SERVER, 2_040);
		assertThat(sendAll(2_040)).isEqualTo(100);
	}

	private int sendAll(long nowMs) {
		int sent = 0;
		while (sent < 100 && this.pauses.mayReceive(SERVER, nowMs)) {
			this.pauses.recordSend(SERVER);
			sent++;
		}
		return sent;
	}

	@Test
	void trialThatEndsWithoutAnAnswerMakesRoomForTheNext() {
		this.pauses.recordPause(SERVER, 1_000, 0);
		assertThat(sendAll(1_000)).isEqualTo(1);
		this.pauses.recordEnd(SERVER);
		assertThat(sendAll(1_001)).isEqualTo(1);
	}

	@Test
	void shorterPauseDoesNotEndALongerOne() {
		this.pauses.recordPause(SERVER, 3_000, 0);
		this.pauses.recordPause(SERVER, 100, 10);
		assertThat(this.pauses.remainingMs(SERVER, 1_000)).isEqualTo(2_000);
	}

	@Test
	void answerToAnEarlierRequestDoesNotEndThePause() {
		this.pauses.recordPause(SERVER, 3_000, 0);
		this.pauses.recordAnswer(SERVER, 10);
		assertThat(this.pauses.isPaused(SERVER, 2_999)).isTrue();
	}

	/**
	 * A server of two slots gets requests of 18 hosts; half of the traffic is that of one
	 * host, and it refuses what it has no slot for with a pause of 2 s. If hosts shared
	 * pauses, the server would idle for most of the time.
	 */
	@Test
	void pauseOfOneHostLeavesTheServerToTheOthers() {
		assertThat(served(false)).isGreaterThan(2 * served(true));
	}

	private static int served(boolean shared) {
		ServerPauses[] hosts = new ServerPauses[18];
		for (int i = 0; i < hosts.length; i++) {
			hosts[i] = (shared && i > 0) ? hosts[0] : new ServerPauses();
		}
		Deque<Long> slots = new ArrayDeque<>();
		int served = 0;
		for (long nowMs = 0; nowMs < 20_000; nowMs += 10) {
			long endBefore = nowMs;
			slots.removeIf((endMs) -> endMs <= endBefore);
			int request = (int) (nowMs / 10);
			ServerPauses host = hosts[(request % 2 == 0) ? 0 : 1 + (request / 2) % 17];
			if (!host.mayReceive(SERVER, nowMs)) {
				continue;
			}
			if (slots.size() < 2) {
				slots.add(nowMs + 85);
				served++;
				host.recordAnswer(SERVER, nowMs);
			}
			else {
				host.recordPause(SERVER, 2_000, nowMs);
			}
		}
		return served;
	}

	@ParameterizedTest
	@CsvSource({ "2, 2000", "0.25, 250", "' 1.5 ', 1500", "0.0001, 1", "60, 60000" })
	void fractionsOfASecondAreRead(String text, long lengthMs) {
		assertThat(RequestedPause.parseSeconds(text)).isEqualTo(new RequestedPause.Pause(lengthMs));
	}

	@ParameterizedTest
	@ValueSource(strings = { "61", "1e300", "Infinity", "99999999999999999999" })
	void hugePauseIsShortened(String text) {
		assertThat(RequestedPause.parseSeconds(text))
			.isEqualTo(new RequestedPause.Shortened(text, RequestedPause.MAX_PAUSE_MS));
	}

	@ParameterizedTest
	@ValueSource(strings = { "-1", "soon", "", "NaN", "1,5", "Sat, 05 Dec 2026 12:00:00 GMT" })
	void anythingElseIsNoPause(String text) {
		assertThat(RequestedPause.parseSeconds(text)).isEqualTo(new RequestedPause.Unreadable(text));
		assertThat(RequestedPause.parseSeconds(text).durationMs()).isEqualTo(0);
	}

}
