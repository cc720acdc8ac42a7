package org.medlardrum.decisions.admission;

/**
 * Forecasts when capacity of a service becomes free, from the expected ends of the work
 * that runs at this host and from the rate at which the service recently completed work.
 */
public final class RoomForecast {

	/**
	 * Records work that started at this host.
	 * @param id identifier of the request
	 * @param rank priority of the request, 0 is the most urgent
	 * @param work its work, in the unit of {@link AdmissionRequest#work()}
	 * @param expectedEndMs time at which it is expected to end, in milliseconds
	 */
	public void recordStart(String id, int rank, double work, long expectedEndMs) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Records that work of this host ended, whether it completed or failed. Unknown
	 * identifiers are ignored.
	 * @param id identifier of the request
	 * @param nowMs current time, in milliseconds
	 */
	public void recordEnd(String id, long nowMs) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Records the rate at which another host completes work of this service. The rate is
	 * used until it is 3,000 ms old.
	 * @param host identifier of the host
	 * @param workPerS work that it completed per second, over all ranks
	 * @param nowMs current time, in milliseconds
	 */
	public void updatePeerRate(String host, double workPerS, long nowMs) {
		throw new UnsupportedOperationException();
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
		throw new UnsupportedOperationException();
	}

	/**
	 * Returns the rate at which this host's work recently ended.
	 * @param nowMs current time, in milliseconds
	 * @return work per second
	 */
	public double servedWorkPerS(long nowMs) {
		throw new UnsupportedOperationException();
	}

}
