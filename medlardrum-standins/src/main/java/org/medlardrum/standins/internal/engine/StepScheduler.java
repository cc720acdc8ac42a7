package org.medlardrum.standins.internal.engine;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

import org.medlardrum.state.Rank;

/**
 * Schedules steps on the slots of an engine. Steps that find no free slot are queued by
 * rank, then by the arrival time of their sequence. A queued step counts from the nominal
 * end of the step before it, so that threads that wake up late do not lower the
 * throughput of a fully loaded engine. Thread-safe.
 */
public final class StepScheduler {

	/**
	 * Maximum time by which a step is backdated because its thread woke up late, as
	 * happens on busy machines.
	 */
	private static final long MAX_CATCH_UP_NS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * Origin of the times of the scheduler. Times count from it and are never negative,
	 * so that -1 can stand for a step that has not started.
	 */
	private static final long ORIGIN_NS = System.nanoTime();

	private final ReentrantLock lock = new ReentrantLock();

	private final PriorityQueue<Waiter> waiters = new PriorityQueue<>(Comparator.comparing(Waiter::rank)
		.thenComparingLong(Waiter::arrivedAtUs)
		.thenComparingLong(Waiter::number));

	private int freeSlots;

	private int running;

	private long nextWaiterNumber;

	/**
	 * Creates a scheduler with all slots free.
	 * @param slots number of slots
	 */
	public StepScheduler(int slots) {
		this.freeSlots = slots;
	}

	/**
	 * Waits for a slot, holds it for the duration of a step and releases it.
	 * @param rank rank of the sequence
	 * @param arrivedAtUs arrival time of the sequence, in microseconds
	 * @param durationNs duration of the step, in nanoseconds
	 * @param deadlineNs time on the clock of {@link System#nanoTime()} after which the
	 * step must not start
	 * @return {@code false} if the deadline passed before the step started
	 * @throws InterruptedException if the thread is interrupted; its slot is then
	 * released
	 */
	public boolean run(Rank rank, long arrivedAtUs, long durationNs, long deadlineNs) throws InterruptedException {
		long startNs = acquire(rank, arrivedAtUs, deadlineNs);
		if (startNs < 0) {
			return false;
		}
		long endNs = startNs + durationNs;
		try {
			long remainingNs = endNs - elapsedNs();
			if (remainingNs > 0) {
				TimeUnit.NANOSECONDS.sleep(remainingNs);
			}
		}
		finally {
			release(Math.min(endNs, elapsedNs()));
		}
		return true;
	}

	/**
	 * Returns the number of steps that hold a slot.
	 * @return the number of steps
	 */
	public int running() {
		this.lock.lock();
		try {
			return this.running;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the number of steps that wait for a slot.
	 * @return the number of steps
	 */
	public int queued() {
		this.lock.lock();
		try {
			return this.waiters.size();
		}
		finally {
			this.lock.unlock();
		}
	}

	private long acquire(Rank rank, long arrivedAtUs, long deadlineNs) throws InterruptedException {
		this.lock.lockInterruptibly();
		try {
			long nowNs = elapsedNs();
			if (this.freeSlots > 0) {
				this.freeSlots--;
				this.running++;
				return nowNs;
			}
			Waiter waiter = new Waiter(rank, arrivedAtUs, this.nextWaiterNumber++, nowNs, this.lock.newCondition());
			this.waiters.add(waiter);
			return awaitSlot(waiter, deadlineNs);
		}
		finally {
			this.lock.unlock();
		}
	}

	private long awaitSlot(Waiter waiter, long deadlineNs) throws InterruptedException {
		try {
			while (waiter.startNs < 0) {
				long remainingNs = deadlineNs - System.nanoTime();
				if (remainingNs <= 0) {
					this.waiters.remove(waiter);
					return -1;
				}
				waiter.granted.awaitNanos(remainingNs);
			}
			return waiter.startNs;
		}
		catch (InterruptedException ex) {
			if (waiter.startNs < 0) {
				this.waiters.remove(waiter);
			}
			else {
				handOverSlot(elapsedNs());
			}
			throw ex;
		}
	}

	private void release(long nominalEndNs) {
		this.lock.lock();
		try {
			handOverSlot(nominalEndNs);
		}
		finally {
			this.lock.unlock();
		}
	}

	private void handOverSlot(long nominalEndNs) {
		Waiter next = this.waiters.poll();
		if (next == null) {
			this.freeSlots++;
			this.running--;
			return;
		}
		long earliestNs = Math.max(nominalEndNs, elapsedNs() - MAX_CATCH_UP_NS);
		next.startNs = Math.max(earliestNs, next.enqueuedAtNs);
		next.granted.signal();
	}

	private static long elapsedNs() {
		return System.nanoTime() - ORIGIN_NS;
	}

	private static final class Waiter {

		private final Rank rank;

		private final long arrivedAtUs;

		private final long number;

		private final long enqueuedAtNs;

		private final Condition granted;

		private long startNs = -1;

		Waiter(Rank rank, long arrivedAtUs, long number, long enqueuedAtNs, Condition granted) {
			this.rank = rank;
			this.arrivedAtUs = arrivedAtUs;
			this.number = number;
			this.enqueuedAtNs = enqueuedAtNs;
			this.granted = granted;
		}

		Rank rank() {
			return this.rank;
		}

		long arrivedAtUs() {
			return this.arrivedAtUs;
		}

		long number() {
			return this.number;
		}

	}

}
