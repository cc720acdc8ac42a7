package org.medlardrum.decisions.pool;

/**
 * Decides when a stream is silent for unusually long. It answers the loss of an engine in
 * the middle of a chain, which the chain reports later than the longest pause that is on
 * time: such a stream must go on elsewhere before. In an overload all pauses grow, and a
 * stream whose usual pauses are near the target cannot be told from a stalled one; moving
 * it would slow down the others.
 *
 * <pre>
 * StreamPauses pauses = new StreamPauses(nowMs, 500, 200);
 * pauses.event(nowMs);
 * long dueAtMs = nowMs + pauses.unusualMs();
 * </pre>
 */
public final class StreamPauses {

	/** Silence after which a chain is asked for its state; reports lag 200 ms. */
	public static final long ASK_AFTER_MS = 250;

	/**
	 * Part of the target after which a silent stream is unusual. The rest is for the
	 * first event elsewhere, which takes 65 ms on the users' engines.
	 */
	private static final double PART_OF_TARGET = 0.55;

	/** Silence that is unusual, relative to the stream's mean pause. */
	private static final double UNUSUAL_PAUSES = 4;

	/** Events after which the mean pause of a stream is known. */
	private static final int KNOWN_EVENTS = 4;

	private final long firstTargetMs;

	private final long gapTargetMs;

	private long firstMs;

	private long lastMs;

	private int events;

	/**
	 * Creates the pauses of one attempt.
	 * @param startMs clock reading at its start
	 * @param firstTargetMs time within which the first event is on time
	 * @param gapTargetMs longest pause that is on time, 0 for none
	 */
	public StreamPauses(long startMs, long firstTargetMs, long gapTargetMs) {
		this.firstTargetMs = firstTargetMs;
		this.gapTargetMs = gapTargetMs;
		this.lastMs = startMs;
	}

	/**
	 * Records an event.
	 * @param nowMs clock reading
	 */
	public void event(long nowMs) {
		if (this.events++ == 0) {
			this.firstMs = nowMs;
		}
		this.lastMs = nowMs;
	}

	/**
	 * Returns the length of the present silence.
	 * @param nowMs clock reading
	 * @return the time since the last event or the start, in milliseconds
	 */
	public long silentMs(long nowMs) {
		return nowMs - this.lastMs;
	}

	/**
	 * Returns whether the attempt has brought an event.
	 * @return {@code true} after the first event
	 */
	public boolean hasBegun() {
		return this.events > 0;
	}

	/**
	 * Returns the silence that is unusual.
	 * @return the length in milliseconds
	 */
	public long unusualMs() {
		if (this.events == 0) {
			return (long) (this.firstTargetMs * PART_OF_TARGET);
		}
		long targetMs = (long) (this.gapTargetMs * PART_OF_TARGET);
		if (this.events < KNOWN_EVENTS || targetMs <= 0) {
			return ASK_AFTER_MS;
		}
		double meanMs = (double) (this.lastMs - this.firstMs) / (this.events - 1);
		return Math.min(ASK_AFTER_MS, Math.max(targetMs, (long) (meanMs * UNUSUAL_PAUSES)));
	}

}
