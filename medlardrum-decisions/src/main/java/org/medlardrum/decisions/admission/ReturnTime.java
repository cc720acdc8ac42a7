package org.medlardrum.decisions.admission;

import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Computes when a refused caller should return: when capacity is expected for its rank,
 * behind the callers that were told to return earlier. Successive callers receive
 * successive times, so that they return at the rate at which capacity becomes free. The
 * times are deterministic.
 */
public final class ReturnTime {

	/**
	 * Value of a {@code retryAfterMs} when a retry is not expected to help. The response
	 * then has no {@code Retry-After}.
	 */
	public static final long NO_RETRY = -1;

	private static final long MIN_RETRY_AFTER_MS = 100;

	// Callers cap a Retry-After at this fraction of their remaining time.
	private static final int CALLER_FRACTION = 3;

	// A pause without refusals that ends a shortage; waiting requests are tried for about
	// as long before they are refused.
	private static final long SHORTAGE_GAP_MS = 1000;

	private static final double MIN_AVAILABLE_SHARE = 0.01;

	private static final double GOLDEN_RATIO = 0.618033988749895;

	private final AdmissionSettings settings;

	private final NavigableMap<Integer, Double> reservedWork = new TreeMap<>();

	private final Map<Integer, Shortage> shortages = new TreeMap<>();

	private final StartedWork started;

	private final NavigableSet<Integer> startedRanks = new TreeSet<>();

	private long drainedAtMs = Long.MIN_VALUE / 2;

	private double spread;

	ReturnTime(AdmissionSettings settings) {
		this.settings = settings;
		this.started = new StartedWork(settings.shareWindowMs());
	}

	/**
	 * Limits a retry time to the time that the caller has left. Callers cap a
	 * {@code Retry-After} at a third of it, so a longer time is not sent.
	 * @param retryAfterMs time from {@link AdmissionOutcome.Refuse} or {@link Displaced}
	 * @param callerRemainingMs time that the caller has left, in milliseconds
	 * @return the time to send as {@code Retry-After}, empty if none is to be sent
	 */
	public static OptionalLong retryAfterMs(long retryAfterMs, long callerRemainingMs) {
		if (retryAfterMs == NO_RETRY || retryAfterMs >= callerRemainingMs) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(Math.min(retryAfterMs, callerRemainingMs / CALLER_FRACTION));
	}

	void recordStart(int rank, double work, long nowMs) {
		this.started.add(Integer.toString(rank), work, nowMs);
		this.startedRanks.add(rank);
	}

	// Returns when the caller of a refused request should return, and reserves the work
	// of its return. The queued work is what waits at the same or a more urgent rank.
	long reserve(AdmissionRequest request, double queuedWork, RoomForecast forecast, long nowMs) {
		int rank = request.rank();
		double workPerS = forecast.expectedWorkPerS(nowMs);
		drain(workPerS, nowMs);
		if (!(workPerS > 0)) {
			return spread();
		}
		double ahead = queuedWork;
		for (double reserved : this.reservedWork.headMap(rank, true).values()) {
			ahead += reserved;
		}
		// Without the more urgent ranks; their surge may end before the caller gives up.
		double shortestWaitMs = Math.ceil(1000 * (ahead + request.work()) / workPerS);
		long shortageMs = remainingShortageMs(rank, nowMs);
		if (shortestWaitMs > CALLER_FRACTION * this.settings.maxRetryAfterMs()) {
			return NO_RETRY;
		}
		double waitMs = shortageMs + shortestWaitMs / availableShare(rank);
		if (waitMs > this.settings.maxRetryAfterMs()) {
			// The caller returns before its turn, so its work would be reserved twice.
			return spread();
		}
		this.reservedWork.merge(rank, request.work(), Double::sum);
		return Math.max(MIN_RETRY_AFTER_MS, (long) waitMs);
	}

	// A shortage is expected to last as long again as it has lasted: until it ends, new
	// requests take the capacity that becomes free.
	private long remainingShortageMs(int rank, long nowMs) {
		Shortage last = this.shortages.get(rank);
		boolean continues = last != null && nowMs - last.seenAtMs() <= SHORTAGE_GAP_MS;
		Shortage shortage = new Shortage((continues) ? last.sinceMs() : nowMs, nowMs);
		this.shortages.put(rank, shortage);
		return Math.min(nowMs - shortage.sinceMs(), this.settings.maxRetryAfterMs() / 2);
	}

	// Returns the share of the capacity that more urgent ranks leave.
	private double availableShare(int rank) {
		double urgent = 0;
		double all = 0;
		for (int started : this.startedRanks) {
			double weight = this.started.weight(Integer.toString(started));
			all += weight;
			urgent += (started < rank) ? weight : 0;
		}
		double floorShare = Math.max(this.settings.floorShare(), MIN_AVAILABLE_SHARE);
		return (all > 0) ? Math.max(floorShare, 1 - urgent / all) : 1;
	}

	// Removes reserved work that the capacity freed since the last call can serve, that
	// of the most urgent rank first.
	private void drain(double workPerS, long nowMs) {
		double freed = workPerS * Math.max(0, nowMs - this.drainedAtMs) / 1000;
		this.drainedAtMs = Math.max(nowMs, this.drainedAtMs);
		for (Map.Entry<Integer, Double> entry : this.reservedWork.entrySet()) {
			double drained = Math.min(freed, entry.getValue());
			entry.setValue(entry.getValue() - drained);
			freed -= drained;
		}
	}

	// Multiples of the golden ratio modulo 1 spread any number of successive callers
	// evenly.
	private long spread() {
		this.spread = (this.spread + GOLDEN_RATIO) % 1;
		long retryAfterMs = (long) ((1 + this.spread) * this.settings.maxRetryAfterMs() / 2);
		return (retryAfterMs >= MIN_RETRY_AFTER_MS) ? retryAfterMs : NO_RETRY;
	}

	private record Shortage(long sinceMs, long seenAtMs) {
	}

}
