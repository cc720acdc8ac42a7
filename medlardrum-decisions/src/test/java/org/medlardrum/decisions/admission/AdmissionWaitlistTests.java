package org.medlardrum.decisions.admission;

import java.util.List;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of single admission decisions.
 */
class AdmissionWaitlistTests {

	private final RoomForecast forecast = new RoomForecast();

	private final AdmissionWaitlist waitlist = new AdmissionWaitlist(new AdmissionSettings(3, 2, 0.05, 10_000, 6666));

	// Guards against a full waitlist that gives up a request that is not the cheapest.
	@ParameterizedTest
	@CsvSource({ "0, c, 1, b1", "2, c, 1, new", "1, b, 1, b1", "1, c, 9, new", "1, c, 4, b1", "1, b, 9, new" })
	void fullWaitlistGivesUpTheCheapest(int rank, String organisation, double work, String givenUp) {
		offer("a0", 0, "a", 9);
		offer("a1", 1, "a", 1);
		offer("b1", 1, "b", 5);
		AdmissionOutcome outcome = offer("new", rank, organisation, work);
		List<String> displaced = this.waitlist.takeDisplaced().stream().map((entry) -> entry.request().id()).toList();
		assertThat(outcome instanceof AdmissionOutcome.Refuse).isEqualTo(givenUp.equals("new"));
		assertThat(displaced).isEqualTo(givenUp.equals("new") ? List.of() : List.of(givenUp));
		assertThat(this.waitlist.size()).isEqualTo(3);
	}

	// Guards against one organisation that fills the waitlist.
	@Test
	void organisationAboveItsLimitGivesUpItsOwnRequest() {
		offer("a1", 1, "a", 1);
		offer("a2", 2, "a", 1);
		offer("b", 2, "b", 9);
		offer("a0", 0, "a", 1);
		assertThat(this.waitlist.takeDisplaced().getFirst().request().id()).isEqualTo("a2");
		assertThat(this.waitlist.size(2)).isEqualTo(1);
	}

	// Guards against a request that waits although nothing ends before its last start.
	@Test
	void knownLossIsRefusedAtOnce() {
		for (int i = 0; i < 10; i++) {
			this.forecast.recordStart("r" + i, 0, 1, 300 + 100 * i);
		}
		assertThat(offer("first", 0, "a", 3)).isInstanceOf(AdmissionOutcome.Wait.class);
		assertThat(offer("second", 1, "b", 4)).isInstanceOf(AdmissionOutcome.Refuse.class);
		assertThat(offer("third", 1, "b", 1)).isInstanceOf(AdmissionOutcome.Wait.class);
		for (int i = 0; i < 10; i++) {
			this.forecast.recordStart("r" + i, 0, 1, 900);
		}
		assertThat(this.waitlist.expire(50)).hasSize(2);
	}

	// Guards against refusals by a host that runs too little to know the service.
	@Test
	void waitsWhenTheForecastIsUncertain() {
		this.forecast.recordStart("r", 0, 1, 60_000);
		assertThat(offer("a", 0, "a", 1)).isInstanceOf(AdmissionOutcome.Wait.class);
		assertThat(this.waitlist.expire(600)).isEmpty();
		assertThat(this.waitlist.expire(601)).hasSize(1);
	}

	// Guards against an arrival that takes room from a more urgent waiting request.
	@ParameterizedTest
	@CsvSource({ "0, a, true", "1, b, true", "1, a, false", "2, b, false" })
	void arrivalIsNextOnlyBeforeAllWaiting(int rank, String organisation, boolean next) {
		this.waitlist.recordStart(request("started", 1, "a", 1), 0);
		offer("waiting", 1, (organisation.equals("b")) ? "a" : "c", 1);
		assertThat(this.waitlist.isNext(request("new", rank, organisation, 1), 0)).isEqualTo(next);
	}

	// Guards against callers that are told the same time and return together.
	@Test
	void returnTimesFollowTheRateOfFreedCapacity() {
		ReturnTime returns = new ReturnTime(AdmissionSettings.forTimeout(20_000));
		for (int i = 0; i < 30; i++) {
			this.forecast.recordEnd("unknown", 0);
			this.forecast.recordStart("r" + i, 0, 1, 0);
			this.forecast.recordEnd("r" + i, 0);
		}
		AdmissionRequest refused = request("a", 0, "a", 1);
		for (int i = 1; i <= 10; i++) {
			assertThat(returns.reserve(refused, 0, this.forecast, 0)).isEqualTo(100 * i);
		}
		assertThat(returns.reserve(refused, 0, this.forecast, 500)).isAtLeast(600);
		assertThat(returns.reserve(refused, 201, this.forecast, 500)).isEqualTo(ReturnTime.NO_RETRY);
	}

	@ParameterizedTest
	@CsvSource({ "1000, 9000, 1000", "4000, 9000, 3000", "9000, 9000, -1", "-1, 9000, -1" })
	void retryAfterIsLimitedToTheCallersTime(long retryAfterMs, long remainingMs, long expected) {
		OptionalLong sent = ReturnTime.retryAfterMs(retryAfterMs, remainingMs);
		assertThat(sent).isEqualTo((expected >= 0) ? OptionalLong.of(expected) : OptionalLong.empty());
	}

	// Guards against a rank that a reserve shuts out for as long as a surge lasts.
	@Test
	void rankBelowItsFloorReservesNothing() {
		ReservedRoom room = new ReservedRoom(AdmissionSettings.forTimeout(20_000));
		room.recordArrival(2, 1, 0);
		for (int i = 0; i < 20; i++) {
			assertThat(room.share(2, 100, 0)).isWithin(1e-9).of(0.12);
			room.recordStart(0, 1.01, 0);
		}
		assertThat(room.share(2, 100, 0)).isEqualTo(0.0);
		room.recordStart(2, 1, 0);
		assertThat(room.share(2, 100, 0)).isWithin(1e-9).of(0.12);
	}

	// Guards against forecasts that ignore what other hosts complete, that believe old or
	// damaged reports, and against a clock that starts below 0.
	@ParameterizedTest
	@ValueSource(longs = { 0, 1_000_000, -1_000_000 })
	void forecastUsesTheRatesOfAllHosts(long nowMs) {
		assertThat(this.forecast.roomExpectedAtMs(1, nowMs)).isEqualTo(Long.MAX_VALUE);
		this.forecast.updatePeerRate("host", 4, nowMs);
		this.forecast.updatePeerRate("host", 10, nowMs);
		this.forecast.updatePeerRate("damaged", Double.NaN, nowMs);
		assertThat(this.forecast.roomExpectedAtMs(1, nowMs)).isEqualTo(nowMs + 100);
		assertThat(this.forecast.roomExpectedAtMs(1, nowMs + 3001)).isEqualTo(Long.MAX_VALUE);
	}

	private AdmissionOutcome offer(String id, int rank, String organisation, double work) {
		return this.waitlist.offer(request(id, rank, organisation, work), this.forecast, 0);
	}

	private static AdmissionRequest request(String id, int rank, String organisation, double work) {
		return new AdmissionRequest(id, rank, organisation, work, 0, 600 + rank);
	}

}
