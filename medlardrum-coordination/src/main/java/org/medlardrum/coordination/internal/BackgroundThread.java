package org.medlardrum.coordination.internal;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

import org.jctools.queues.MessagePassingQueue;
import org.tinylog.Logger;

/**
 * Thread that repeats the step function of one responsibility. The step returns the time
 * in milliseconds until it wants to run again; {@link #wake()} ends the wait early.
 */
public final class BackgroundThread implements AutoCloseable {

	/** Upper limit of one wait, so that a wrong due time cannot stop a thread. */
	private static final long MAX_WAIT_MS = 1_000;

	private static final long FULL_RING_WAIT_MS = 1;

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
	 * Makes the thread run its step again without waiting.
	 */
	public void wake() {
		LockSupport.unpark(this.thread);
	}

	/**
	 * Puts a message that must not be lost into the thread's ring, waiting while it is
	 * full. Called from virtual threads only, since it may block.
	 * @param ring the ring that the step drains
	 * @param message the message
	 */
	public void enqueue(MessagePassingQueue<Runnable> ring, Runnable message) {
		boolean interrupted = false;
		while (!ring.offer(message)) {
			wake();
			try {
				Thread.sleep(FULL_RING_WAIT_MS);
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
		catch (RuntimeException ex) {
			Logger.error(ex, "{}: step failed", this.thread.getName());
			return MAX_WAIT_MS;
		}
	}

	/**
	 * Ends the thread after the current step.
	 */
	@Override
	public void close() {
		this.closed = true;
		this.thread.interrupt();
		wake();
	}

}
