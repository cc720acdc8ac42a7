package org.medlardrum.decisions.admission;

/**
 * Computes the share of a service's capacity that work of a rank must leave free for more
 * urgent ranks, from the demand of those ranks at all hosts.
 */
public final class ReservedRoom {

	/**
	 * Creates a record without demand.
	 * @param settings limits of the service at this host
	 */
	public ReservedRoom(AdmissionSettings settings) {
	}

	/**
	 * Records the arrival of a request at this host, whether or not it is served.
	 * @param rank priority of the request, 0 is the most urgent
	 * @param work its work, in the unit of {@link AdmissionRequest#work()}
	 * @param nowMs current time, in milliseconds
	 */
	public void recordArrival(int rank, double work, long nowMs) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Records the start of work at this host. A rank whose requests arrive but that is
	 * below its floor of the started work reserves nothing until it has caught up.
	 * @param rank priority of the request, 0 is the most urgent
	 * @param work its work, in the unit of {@link AdmissionRequest#work()}
	 * @param nowMs current time, in milliseconds
	 */
	public void recordStart(int rank, double work, long nowMs) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Records the demand of a rank at another host. It is used until it is 3,000 ms old.
	 * @param host identifier of the host
	 * @param rank priority, 0 is the most urgent
	 * @param workPerS work that arrived at that host per second
	 * @param nowMs current time, in milliseconds
	 */
	public void updatePeerDemand(String host, int rank, double workPerS, long nowMs) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Returns the share of the capacity that must remain free when work of a rank starts.
	 * @param rank priority of the work, 0 is the most urgent
	 * @param capacityWork capacity of the service, in work that it can hold at once
	 * @param nowMs current time, in milliseconds
	 * @return the share, from 0 to 0.5
	 */
	public double share(int rank, double capacityWork, long nowMs) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Returns the demand of a rank at this host, for the digests to other hosts.
	 * @param rank priority, 0 is the most urgent
	 * @param nowMs current time, in milliseconds
	 * @return work that arrived per second, over the last 3,000 ms
	 */
	public double ownDemandPerS(int rank, long nowMs) {
		throw new UnsupportedOperationException();
	}

}
