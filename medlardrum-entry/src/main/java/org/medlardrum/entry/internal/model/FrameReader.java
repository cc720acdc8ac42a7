package org.medlardrum.entry.internal.model;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.medlardrum.state.Outcome;
import org.medlardrum.transport.EngineStream;
import org.medlardrum.transport.StreamEvent;

/**
 * Reads the frames of one generation on a thread of its own. A stream cannot be read
 * again after a timeout, so the reader waits until the deadline, and the request's
 * thread, which uses this class, waits for the reader.
 */
final class FrameReader implements AutoCloseable {

	/** Bounds the frames that a slow caller has not taken yet. */
	private static final int MAX_QUEUED_EVENTS = 16;

	private final CompletableFuture<Outcome<EngineStream>> started = new CompletableFuture<>();

	private final BlockingQueue<StreamEvent> events = new ArrayBlockingQueue<>(MAX_QUEUED_EVENTS);

	private final LongSupplier remainingMs;

	private final Thread thread;

	private volatile boolean closed;

	/**
	 * Starts a generation.
	 * @param generation starts the generation and waits for its first frame
	 * @param remainingMs returns the time until the deadline of the request
	 */
	FrameReader(Supplier<Outcome<EngineStream>> generation, LongSupplier remainingMs) {
		this.remainingMs = remainingMs;
		this.thread = Thread.ofVirtual().name("frames").start(() -> run(generation));
	}

	private void run(Supplier<Outcome<EngineStream>> generation) {
		try {
			Outcome<EngineStream> outcome = generation.get();
			this.started.complete(outcome);
			if (outcome instanceof Outcome.Completed<EngineStream> completed) {
				try (EngineStream stream = completed.value()) {
					read(stream);
				}
			}
		}
		catch (InterruptedException ex) {
			// The attempt has ended.
			Thread.currentThread().interrupt();
		}
		catch (RuntimeException ex) {
			this.started.completeExceptionally(ex);
		}
	}

	private void read(EngineStream stream) throws InterruptedException {
		StreamEvent event = null;
		while (!this.closed && !(event instanceof StreamEvent.Broken)) {
			event = stream.next(Math.max(1, this.remainingMs.getAsLong()));
			if (event instanceof StreamEvent.TimedOut) {
				return;
			}
			this.events.put(event);
		}
	}

	/**
	 * Waits until the first frame has arrived or the generation has failed.
	 * @param timeoutMs longest wait
	 * @return whether {@link #outcome()} is known
	 * @throws InterruptedException if the caller has disconnected
	 */
	boolean awaitStart(long timeoutMs) throws InterruptedException {
		try {
			this.started.get(timeoutMs, TimeUnit.MILLISECONDS);
			return true;
		}
		catch (TimeoutException ex) {
			return false;
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException("Generation could not be started", ex.getCause());
		}
	}

	/**
	 * Returns whether the generation has started. This class reads its stream and closes
	 * it.
	 * @return the outcome
	 */
	Outcome<EngineStream> outcome() {
		return this.started.join();
	}

	/**
	 * Waits for the next frame.
	 * @param timeoutMs longest wait
	 * @return the frame, or why there is none
	 * @throws InterruptedException if the caller has disconnected
	 */
	StreamEvent next(long timeoutMs) throws InterruptedException {
		StreamEvent event = this.events.poll(timeoutMs, TimeUnit.MILLISECONDS);
		return (event != null) ? event : new StreamEvent.TimedOut();
	}

	/**
	 * Waits for the end of the response after its last frame, so that its engine does not
	 * see a cancelled call.
	 * @param timeoutMs longest wait
	 * @throws InterruptedException if the caller has disconnected
	 */
	void awaitEnd(long timeoutMs) throws InterruptedException {
		this.thread.join(timeoutMs);
	}

	/**
	 * Ends the generation, unless its response has ended.
	 */
	@Override
	public void close() {
		this.closed = true;
		this.thread.interrupt();
	}

}
