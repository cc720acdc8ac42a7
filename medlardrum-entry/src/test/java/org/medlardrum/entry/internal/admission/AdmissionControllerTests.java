package org.medlardrum.entry.internal.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.medlardrum.decisions.AdmissionLimits;
import org.medlardrum.decisions.AdmissionQueue;
import org.medlardrum.decisions.RankLimits;
import org.medlardrum.state.ManualClock;
import org.medlardrum.state.Rank;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests that wait for ever, places that are never freed and a full ring
 * that blocks.
 */
class AdmissionControllerTests {

	private final ManualClock clock = new ManualClock(1000);

	private final AdmissionController admission = new AdmissionController(this.clock, 4, AdmissionQueue::new);

	private void limit(int slots, long maxQueueMs) {
		this.admission.update(Map.of("pool",
				new AdmissionLimits(slots, 1, Map.of(Rank.URGENT, new RankLimits(0.5, maxQueueMs)), Map.of())));
		this.admission.step();
	}

	private Ticket offer(long expiresAtMs) {
		return this.admission.offer("pool", Rank.URGENT, "coop", 1, expiresAtMs);
	}

	private AdmissionResult result(Ticket ticket) throws InterruptedException {
		this.admission.step();
		return ticket.await();
	}

	@Test
	void poolWithoutServersRefuses() throws InterruptedException {
		assertThat(result(offer(9000))).isInstanceOf(AdmissionResult.NoServers.class);
	}

	@Test
	void fullRingRefusesAtOnce() throws InterruptedException {
		limit(1, 60_000);
		List<Ticket> tickets = new ArrayList<>();
		for (int i = 0; i < 5; i++) {
			tickets.add(offer(9000));
		}
		assertThat(tickets.get(4).await()).isInstanceOf(AdmissionResult.Refused.class);
	}

	@Test
	void closedTicketFreesItsPlace() throws InterruptedException {
		limit(1, 60_000);
		Ticket first = offer(9000);
		assertThat(result(first)).isInstanceOf(AdmissionResult.Started.class);
		Ticket second = offer(9000);
		this.admission.step();
		first.close();
		assertThat(result(second)).isInstanceOf(AdmissionResult.Started.class);
	}

	@Test
	void closedTicketLeavesTheQueue() throws InterruptedException {
		limit(1, 60_000);
		Ticket first = offer(9000);
		Ticket cancelled = offer(9000);
		Ticket last = offer(9000);
		assertThat(result(first)).isInstanceOf(AdmissionResult.Started.class);
		cancelled.close();
		first.close();
		assertThat(result(last)).isInstanceOf(AdmissionResult.Started.class);
	}

	@Test
	void queuedRequestExpiresWithItsTimeout() throws InterruptedException {
		limit(1, 60_000);
		offer(90_000);
		Ticket queued = offer(20_000);
		this.admission.step();
		this.clock.advance(20_000);
		assertThat(result(queued)).isInstanceOf(AdmissionResult.Expired.class);
	}

	@Test
	void longWaitIsRefusedBeforeItStarts() throws InterruptedException {
		limit(1, 10);
		offer(90_000);
		Ticket refused = offer(90_000);
		assertThat(result(refused)).isInstanceOf(AdmissionResult.Refused.class);
	}

}
