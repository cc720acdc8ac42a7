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

	// The step that must wait holds the slot for an hour, so that the other step can end
	// in time only if it starts first.
	@ParameterizedTest
	@CsvSource({ "URGENT, 2, BACKGROUND, 1", "URGENT, 2, STANDARD, 1", "STANDARD, 2, BACKGROUND, 1",
			"STANDARD, 1, STANDARD, 2" })
	void freeSlotGoesToTheHigherRankThenToTheEarlierArrival(Rank rank, long arrivedAtUs, Rank otherRank,
			long otherArrivedAtUs) throws Exception {
		Thread holder = startStep(Rank.BACKGROUND, 0, HOUR_NS);
		awaitCounts(1, 0);
		Thread other = startStep(otherRank, otherArrivedAtUs, HOUR_NS);
		awaitCounts(1, 1);
		Thread first = startStep(rank, arrivedAtUs, 0);
		awaitCounts(1, 2);
		holder.interrupt();
		assertThat(first.join(Duration.ofSeconds(20))).isTrue();
		awaitCounts(1, 0);
		other.interrupt();
		awaitCounts(0, 0);
	}

	@ParameterizedTest
	@CsvSource({ "URGENT", "BACKGROUND" })
	void interruptedWaiterLeavesTheQueue(Rank rank) throws Exception {
		Thread holder = startStep(Rank.STANDARD, 0, HOUR_NS);
		awaitCounts(1, 0);
		Thread waiter = startStep(rank, 1, HOUR_NS);
		awaitCounts(1, 1);
		waiter.interrupt();
		awaitCounts(1, 0);
		holder.interrupt();
		awaitCounts(0, 0);
	}

	private Thread startStep(Rank rank, long arrivedAtUs, long durationNs) {
		return Thread.ofVirtual().start(() -> {
			try {
				this.scheduler.run(rank, arrivedAtUs, durationNs, System.nanoTime() + HOUR_NS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
	}

	private void awaitCounts(int running, int queued) throws InterruptedException {
		while (this.scheduler.running() != running || this.scheduler.queued() != queued) {
			Thread.sleep(1);
		}
	}

}
