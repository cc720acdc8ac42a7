package org.medlardrum.gateway.internal.request;

import org.medlardrum.gateway.GatewayClock;
import org.medlardrum.gateway.internal.log.DecisionLog;

/**
 * Measures how late the timers of requests fire, which shows how far the event loop is
 * behind. Confined to the event loop, except for {@link #latestMs()}.
 */
public final class TimerLateness {

	/**
	 * Lateness from which the event loop counts as late, beyond the jitter of timers and
	 * below all thresholds of stalls.
	 */
	static final long LATE_MS = 20;

	/** Lateness from which a line is logged, several times that of an idle host. */
	private static final long LOG_FROM_MS = 100;

	/** Shortest time between two lines. */
	private static final long LOG_INTERVAL_MS = 1_000;

	private final GatewayClock clock;

	private final DecisionLog log;

	private volatile long latestMs;

	private long maxMs;

	private long loggedAtMs = Long.MIN_VALUE / 2;

	/**
	 * Creates a measurement without any timer.
	 * @param clock the clocks
	 * @param log the log
	 */
	public TimerLateness(GatewayClock clock, DecisionLog log) {
		this.clock = clock;
		this.log = log;
	}

	/**
	 * Records a timer that has fired.
	 * @param dueAtMs due time on the monotonic clock
	 * @param nowMs current time on the monotonic clock
	 */
	public void record(long dueAtMs, long nowMs) {
		long lateMs = Math.max(0, nowMs - dueAtMs);
		this.latestMs = lateMs;
		this.maxMs = Math.max(this.maxMs, lateMs);
		if (this.maxMs >= LOG_FROM_MS && nowMs - this.loggedAtMs >= LOG_INTERVAL_MS) {
			// The difference of the clocks grows when the host is suspended.
			this.log.event("loop", "late", "maxLateMs", this.maxMs, "wallMinusMonotonicMs",
					this.clock.wallMs() - nowMs);
			this.loggedAtMs = nowMs;
			this.maxMs = 0;
		}
	}

	/**
	 * Returns whether the event loop is late, so that bytes may have arrived that it has
	 * not read.
	 * @return {@code true} if the last timer was late
	 */
	public boolean isLate() {
		return this.latestMs >= LATE_MS;
	}

	/**
	 * Returns the lateness of the last timer.
	 * @return time in milliseconds after the due time
	 */
	public long latestMs() {
		return this.latestMs;
	}

}
