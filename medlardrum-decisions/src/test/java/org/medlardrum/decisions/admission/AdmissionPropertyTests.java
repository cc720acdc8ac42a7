package org.medlardrum.decisions.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Properties of the admission decisions over random loads.
 */
class AdmissionPropertyTests {

	private static final AdmissionSettings SETTINGS = new AdmissionSettings(20, 8, 0.05, 10_000, 6666);

	private static final int RANKS = 3;

	// Guards against a request that is refused and started, lost, or kept too long.
	@Property(tries = 200)
	void everyRequestHasOneEnd(@ForAll long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		AdmissionWaitlist waitlist = new AdmissionWaitlist(SETTINGS);
		RoomForecast forecast = new RoomForecast();
		Map<String, AdmissionRequest> waiting = new HashMap<>();
		Set<String> ended = new HashSet<>();
		List<String> running = new ArrayList<>();
		long nowMs = random.nextLong(-1_000_000, 1_000_000);
		for (int i = 0; i < 300; i++) {
			nowMs += random.nextInt(40);
			AdmissionRequest offered = request(random, i, random.nextInt(RANKS), nowMs);
			waiting.put(offered.id(), offered);
			List<Displaced> refused = new ArrayList<>();
			if (waitlist.offer(offered, forecast, nowMs) instanceof AdmissionOutcome.Refuse refuse) {
				refused.add(new Displaced(offered, refuse.reason(), refuse.retryAfterMs()));
			}
			refused.addAll(waitlist.takeDisplaced());
			refused.addAll(waitlist.expire(nowMs));
			for (Displaced refusal : refused) {
				assertThat(waiting.remove(refusal.request().id())).isNotNull();
				assertThat(ended.add(refusal.request().id())).isTrue();
				assertThat(refusal.retryAfterMs()).isAtMost(SETTINGS.maxRetryAfterMs());
			}
			List<AdmissionRequest> ordered = waitlist.inOrder(nowMs);
			assertThat(ordered).containsExactlyElementsIn(waiting.values());
			assertThat(waitlist.size()).isAtMost(SETTINGS.maxWaiting());
			for (AdmissionRequest next : ordered) {
				assertThat(next.startByMs()).isAtLeast(nowMs);
			}
			if (!ordered.isEmpty() && random.nextInt(3) == 0) {
				AdmissionRequest started = ordered.getFirst();
				assertThat(waitlist.recordStart(started, nowMs)).isTrue();
				forecast.recordStart(started.id(), started.rank(), started.work(), nowMs + random.nextInt(3000));
				running.add(started.id());
				waiting.remove(started.id());
				assertThat(ended.add(started.id())).isTrue();
			}
			if (!running.isEmpty() && random.nextInt(4) == 0) {
				forecast.recordEnd(running.remove(random.nextInt(running.size())), nowMs);
			}
		}
		new ArrayList<>(waiting.keySet()).forEach((id) -> assertThat(waitlist.remove(id)).isTrue());
		assertThat(waitlist.inOrder(nowMs)).isEmpty();
		assertThat(waitlist.oldestWaitMs(nowMs)).isEqualTo(0);
	}

	// Guards against starved ranks and against floors that take capacity from the most
	// urgent rank: while all ranks wait, each less urgent rank gets its floor and hardly
	// more.
	@Property(tries = 50)
	void floorsHoldAndTheMostUrgentRankGetsTheRest(@ForAll long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		AdmissionWaitlist waitlist = new AdmissionWaitlist(AdmissionSettings.forTimeout(20_000));
		RoomForecast forecast = new RoomForecast();
		double[] startedWork = new double[RANKS];
		double total = 0;
		int number = 0;
		for (int i = 0; i < 2000; i++) {
			for (int rank = 0; rank < RANKS; rank++) {
				while (waitlist.size(rank) < 3) {
					waitlist.offer(request(random, number++, rank, 10_000_000), forecast, i * 10L);
				}
			}
			AdmissionRequest next = waitlist.inOrder(i * 10L, 1).getFirst();
			waitlist.recordStart(next, i * 10L);
			startedWork[next.rank()] += next.work();
			total += next.work();
		}
		for (int rank = 1; rank < RANKS; rank++) {
			assertWithMessage("rank %s", rank).that(startedWork[rank] / total).isWithin(0.01).of(0.05);
		}
	}

	// Guards against a reserve that shuts out a rank or doesn't fall with the demand.
	@Property(tries = 200)
	void reservedShareFollowsTheUrgentDemand(@ForAll @IntRange(max = 8) int rank,
			@ForAll @DoubleRange(max = 1000) double peerWorkPerS, @ForAll @IntRange(max = 50) int arrivals) {
		ReservedRoom room = new ReservedRoom(SETTINGS);
		room.updatePeerDemand("host", 0, peerWorkPerS, 0);
		for (int i = 0; i < arrivals; i++) {
			room.recordArrival(0, 30, 0);
		}
		double demanded = (rank > 0) ? (peerWorkPerS + 10 * arrivals) / 1000 : 0;
		double expected = Math.min(0.5, Math.max(demanded, 0.06 * rank));
		assertThat(room.share(rank, 1000, 0)).isWithin(1e-9).of(expected);
		assertThat(room.share(rank, 1000, 3001)).isWithin(1e-9).of(Math.min(0.5, 0.06 * rank));
	}

	private static AdmissionRequest request(SplittableRandom random, int number, int rank, long nowMs) {
		return new AdmissionRequest(Integer.toString(number), rank, "o" + random.nextInt(4), 0.5 + random.nextDouble(),
				nowMs, nowMs + random.nextInt(500));
	}

}
