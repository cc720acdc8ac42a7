package org.medlardrum.decisions.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Forecasts when capacity of a service becomes free, from the expected ends of the work
 * that runs at this host and from the rate at which the service recently completed work.
 */
public final class RoomForecast {

	// With fewer running or ended requests, the ends at this host say little about the
	// rate of the service.
	private static final int MIN_SAMPLES = 8;

	private static final double MAX_FORECAST_MS = 1e12;

	private final Map<String, Running> running = new HashMap<>();

	private final TreeSet<Running> byEnd = new TreeSet<>(
			Comparator.comparingLong(Running::expectedEndMs).thenComparing(Running::id));

	private final PeerRates peers = new PeerRates();

	private final WorkWindow ended = new WorkWindow();

	private double runningWork;

	/**
	 * Records work that started at this host.
	 * @param id identifier of the request
	 * @param rank priority of the request, 0 is the most urgent
	 * @param work its work, in the unit of {@link AdmissionRequest#work()}
	 * @param expectedEndMs time at which it is expected to end, in milliseconds
	 */
	public void recordStart(String id, int rank, double work, long expectedEndMs) {
		recordEnd(id);
		Running started = new Running(id, rank, work, expectedEndMs);
		this.running.put(id, started);
		this.byEnd.add(started);
		this.runningWork += work;
	}

	/**
	 * Records that work of this host ended, whether it completed or failed. Unknown
	 * identifiers are ignored.
	 * @param id identifier of the request
	 * @param nowMs current time, in milliseconds
	 */
	public void recordEnd(String id, long nowMs) {
		Running ended = recordEnd(id);
		if (ended != null) {
			this.ended.add(ended.work(), nowMs);
		}
	}

	private Running recordEnd(String id) {
		Running ended = this.running.remove(id);
		if (ended != null) {
			this.byEnd.remove(ended);
			this.runningWork = (this.running.isEmpty()) ? 0 : this.runningWork - ended.work();
		}
		return ended;
	}

	/**
	 * Records the rate at which another host completes work of this service. The rate is
	 * used until it is 3,000 ms old.
	 * @param host identifier of the host
	 * @param workPerS work that it completed per second, over all ranks
	 * @param nowMs current time, in milliseconds
	 */
	public void updatePeerRate(String host, double workPerS, long nowMs) {
		this.peers.update(host, workPerS, nowMs);
	}

	/**
	 * Returns the earliest time at which an amount of capacity is expected to have become
	 * free. It assumes that this host can use whatever the service frees, so a request
	 * that cannot start by that time is certain to be late.
	 * @param work amount of work, in the unit of {@link AdmissionRequest#work()}
	 * @param nowMs current time, in milliseconds
	 * @return the time in milliseconds, {@link Long#MAX_VALUE} if unknown
	 */
	public long roomExpectedAtMs(double work, long nowMs) {
		long expectedAtMs = ownRoomExpectedAtMs(work, nowMs);
		double peerWorkPerS = this.peers.workPerS(nowMs);
		if (peerWorkPerS > 0) {
			expectedAtMs = Math.min(expectedAtMs, after(nowMs, work, servedWorkPerS(nowMs) + peerWorkPerS));
		}
		return expectedAtMs;
	}

	private long ownRoomExpectedAtMs(double work, long nowMs) {
		double freed = 0;
		long atMs = nowMs;
		for (Running next : this.byEnd) {
			freed += next.work();
			atMs = Math.max(nowMs, next.expectedEndMs());
			if (freed >= work) {
				return atMs;
			}
		}
		return after(atMs, work - freed, ownWorkPerS(nowMs));
	}

	private static long after(long fromMs, double work, double workPerS) {
		double waitMs = Math.ceil(1000 * work / workPerS);
		return (workPerS > 0 && waitMs < MAX_FORECAST_MS) ? fromMs + (long) waitMs : Long.MAX_VALUE;
	}

	// Returns whether an amount of work is certain to become free too late. Ends of a few
	// requests at this host say little about a service that other hosts use too.
	boolean isTooLate(double work, long startByMs, long nowMs) {
		boolean known = this.running.size() >= MIN_SAMPLES || this.ended.count(nowMs) >= MIN_SAMPLES
				|| this.peers.workPerS(nowMs) > 0;
		return known && roomExpectedAtMs(work, nowMs) > startByMs;
	}

	// Returns the rate at which capacity becomes free for this host: its own rate, or an
	// equal share of the service's rate if that is higher.
	double expectedWorkPerS(long nowMs) {
		double ownWorkPerS = ownWorkPerS(nowMs);
		double peerWorkPerS = this.peers.workPerS(nowMs);
		double meanWorkPerS = (servedWorkPerS(nowMs) + peerWorkPerS) / (this.peers.hosts() + 1);
		return Math.max(ownWorkPerS, meanWorkPerS);
	}

	// After an increase of the load, the running work foretells a higher rate than the
	// past ends.
	private double ownWorkPerS(long nowMs) {
		double workPerS = servedWorkPerS(nowMs);
		if (this.running.size() >= MIN_SAMPLES) {
			long lastEndMs = Math.max(this.byEnd.last().expectedEndMs(), nowMs + 1);
			workPerS = Math.max(workPerS, 1000 * this.runningWork / (lastEndMs - nowMs));
		}
		return workPerS;
	}

	/**
	 * Returns the rate at which this host's work recently ended.
	 * @param nowMs current time, in milliseconds
	 * @return work per second
	 */
	public double servedWorkPerS(long nowMs) {
		return this.ended.workPerS(nowMs);
	}

	private record Running(String id, int rank, double work, long expectedEndMs) {
	}

}
