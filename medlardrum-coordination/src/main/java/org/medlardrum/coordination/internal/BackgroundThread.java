package org.medlardrum.coordination.internal;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

import org.jctools.queues.MessagePassingQueue;
import org.tinylog.Logger;

/**
 * Background thread that calls a step function in a loop. The step returns the delay in
 * milliseconds until its next call; {@link #wake()} ends the delay early. A step that
 * throws is logged and called again after a delay.
 */
public final class BackgroundThread implements AutoCloseable {

	/**
	 * Upper limit of one delay, so that a wrong result of a step cannot stall the thread.
	 */
	private static final long MAX_WAIT_MS = 1_000;

	private static final long FULL_QUEUE_RETRY_MS = 1;

	private final LongSupplier step;

	private final Thread thread;

	private volatile boolean closed;

	public BackgroundThread(String name, LongSupplier step) {
		this.step = Objects.requireNonNull(step, "step");
		this.thread = Thread.ofPlatform().name(name).daemon().unstarted(this::run);
	}

	/**
	 * Starts the thread.
	 */
	public void start() {
		this.thread.start();
	}

	/**
	 * Makes the thread call its step without further delay.
	 */
	public void wake() {
		LockSupport.unpark(this.thread);
	}

	/**
	 * Puts a task that must not be lost into a queue that the step drains, and wakes the
	 * thread. Blocks while the queue is full, so it must be called from virtual threads
	 * only.
	 * @param queue the queue
	 * @param task the task
	 */
	public void enqueue(MessagePassingQueue<Runnable> queue, Runnable task) {
		boolean interrupted = false;
		while (!queue.offer(task)) {
			wake();
			try {
				Thread.sleep(FULL_QUEUE_RETRY_MS);
			}
			catch (InterruptedException ex) {
				interrupted = true;
			}
		}
		wake();
		if (interrupted) {
			Thread.currentThread().interrupt();
		}
	}

	private void run() {
		while (!this.closed) {
			long waitMs = runStep();
			if (waitMs > 0 && !this.closed) {
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(Math.min(waitMs, MAX_WAIT_MS)));
			}
		}
	}

	private long runStep() {
		try {
			return this.step.getAsLong();
		}
		catch (RuntimeException | Error ex) {
			Logger.error(ex, "{}: step failed, called again within {} ms", this.thread.getName(), MAX_WAIT_MS);
			return MAX_WAIT_MS;
		}
	}

	/**
	 * Interrupts the current step. The thread ends when the step returns.
	 */
	@Override
	public void close() {
		this.closed = true;
		this.thread.interrupt();
		wake();
	}

}
