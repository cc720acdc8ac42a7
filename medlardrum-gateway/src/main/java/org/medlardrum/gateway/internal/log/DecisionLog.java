package org.medlardrum.gateway.internal.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;

import org.jctools.queues.MpscArrayQueue;

/**
 * Structured log: one line of {@code key=value} pairs for each decision. A single thread
 * writes the lines from a bounded ring buffer, so that a stalled output blocks no
 * request. Lines that do not fit into a full ring buffer are dropped and counted, and the
 * count is logged later.
 *
 * <pre>
 * log.event("stream", "resume", "id", requestId, "server", server, "after", lastEventId);
 * </pre>
 */
public final class DecisionLog implements AutoCloseable {

	/** Capacity of the ring buffer: about 200 bytes a line, 1 MB in total. */
	private static final int RING_CAPACITY_LINES = 4096;

	/** Interval at which the idle writer polls for new lines. */
	private static final long IDLE_WAIT_MS = 250;

	/** Longest wait for buffered lines to be written on close. */
	private static final long CLOSE_WAIT_MS = 300;

	private final MpscArrayQueue<String> ring = new MpscArrayQueue<>(RING_CAPACITY_LINES);

	private final LongAdder dropped = new LongAdder();

	private final PrintStream output;

	private final Thread writer;

	private volatile boolean closed;

	private long droppedLogged;

	/**
	 * Creates a log and starts its writer thread.
	 * @param output destination of the lines
	 */
	public DecisionLog(PrintStream output) {
		this.output = output;
		this.writer = Thread.ofPlatform().name("decision-log").daemon().start(this::writeLoop);
	}

	/**
	 * Logs one decision.
	 * @param part part of the process
	 * @param event name of the decision or observation
	 * @param pairs alternating names and values
	 */
	public void event(String part, String event, Object... pairs) {
		StringBuilder line = new StringBuilder(160).append("t=")
			.append(System.currentTimeMillis())
			.append(" part=")
			.append(part)
			.append(" event=")
			.append(event);
		for (int i = 0; i + 1 < pairs.length; i += 2) {
			line.append(' ').append(pairs[i]).append('=');
			appendValue(line, String.valueOf(pairs[i + 1]));
		}
		if (!this.ring.offer(line.toString())) {
			this.dropped.increment();
		}
	}

	/**
	 * Returns the number of lines dropped because the ring buffer was full.
	 * @return the number of lines since the start
	 */
	public long dropped() {
		return this.dropped.sum();
	}

	private static void appendValue(StringBuilder line, String value) {
		boolean plain = !value.isEmpty();
		for (int i = 0; plain && i < value.length(); i++) {
			char c = value.charAt(i);
			plain = c > ' ' && c != '"' && c != '=' && c != '\\';
		}
		if (plain) {
			line.append(value);
			return;
		}
		line.append('"');
		for (int i = 0; i < value.length(); i++) {
			char c = value.charAt(i);
			if (c == '"' || c == '\\') {
				line.append('\\');
			}
			line.append((c < ' ') ? ' ' : c);
		}
		line.append('"');
	}

	private void writeLoop() {
		while (!this.closed || !this.ring.isEmpty()) {
			StringBuilder batch = new StringBuilder();
			for (String line = this.ring.poll(); line != null; line = this.ring.poll()) {
				batch.append(line).append('\n');
			}
			long droppedTotal = this.dropped.sum();
			if (droppedTotal > this.droppedLogged) {
				batch.append("t=")
					.append(System.currentTimeMillis())
					.append(" part=log event=dropped lines=")
					.append(droppedTotal - this.droppedLogged)
					.append('\n');
				this.droppedLogged = droppedTotal;
			}
			if (!batch.isEmpty()) {
				byte[] bytes = batch.toString().getBytes(StandardCharsets.UTF_8);
				this.output.write(bytes, 0, bytes.length);
				this.output.flush();
			}
			if (!this.closed) {
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(IDLE_WAIT_MS));
			}
		}
	}

	/**
	 * Writes the buffered lines and stops the writer thread; waits only briefly for a
	 * stalled output.
	 */
	@Override
	public void close() {
		this.closed = true;
		LockSupport.unpark(this.writer);
		try {
			this.writer.join(CLOSE_WAIT_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
