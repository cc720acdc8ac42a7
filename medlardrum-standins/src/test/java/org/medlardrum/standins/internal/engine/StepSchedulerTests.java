package org.medlardrum.standins.internal.engine;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.medlardrum.state.Rank;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an engine that runs more sequences than it has slots, ignores ranks, or
 * keeps the slot of a cancelled sequence.
 */
@Timeout(120)
class StepSchedulerTests {

	private static final long HOUR_NS = TimeUnit.HOURS.toNanos(1);

	private final StepScheduler scheduler = new StepScheduler(1);

	// The step that must wait keeps the slot for an hour, so that the other one can end
	// only if it goes first.
	@ParameterizedTest
	@CsvSource({ "URGENT, 2, BACKGROUND, 1", "URGENT, 2, STANDARD, 1", "STANDARD, 2, BACKGROUND, 1",
			"STANDARD, 1, STANDARD, 2" })
	void freeSlotGoesToTheHigherRankThenToTheEarlierArrival(Rank rank, long arrivedAtUs, Rank otherRank,
			long otherArrivedAtUs) throws Exception {
		Thread holder = step(Rank.BACKGROUND, 0, HOUR_NS);
		await(1, 0);
		Thread other = step(otherRank, otherArrivedAtUs, HOUR_NS);
		await(1, 1);
		Thread first = step(rank, arrivedAtUs, 0);
		await(1, 2);
		holder.interrupt();
		assertThat(first.join(Duration.ofSeconds(20))).isTrue();
		await(1, 0);
		other.interrupt();
		await(0, 0);
	}

	@ParameterizedTest
	@CsvSource({ "URGENT", "BACKGROUND" })
	void interruptedWaiterLeavesTheQueue(Rank rank) throws Exception {
		Thread holder = step(Rank.STANDARD, 0, HOUR_NS);
		await(1, 0);
		Thread waiter = step(rank, 1, HOUR_NS);
		await(1, 1);
		waiter.interrupt();
		await(1, 0);
		holder.interrupt();
		await(0, 0);
	}

	private Thread step(Rank rank, long arrivedAtUs, long durationNs) {
		return Thread.ofVirtual().start(() -> {
			try {
				this.scheduler.run(rank, arrivedAtUs, durationNs, System.nanoTime() + HOUR_NS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
	}

	private void await(int running, int queued) throws InterruptedException {
		while (this.scheduler.running() != running || this.scheduler.queued() != queued) {
			Thread.sleep(1);
		}
	}

}
