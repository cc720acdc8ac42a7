package org.medlardrum.decisions.admission;

import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Computes the share of a service's capacity that work of a rank must leave free for more
 * urgent ranks, from the demand of those ranks at all hosts.
 */
public final class ReservedRoom {

	// The share that is kept free for each more urgent rank without any demand of theirs,
	// so that the first requests of a surge find room.
	private static final double MIN_SHARE_PER_RANK = 0.06;

	private static final double MAX_SHARE = 0.5;

	// Hosts don't know what waits at other hosts. An organisation that takes far more
	// than an equal share leaves this much free, so that the requests of the others find
	// room at whichever host they arrive. The excess that counts is above the variation
	// that a host with a few starts in 10 s sees among equal organisations.
	private static final double ORGANISATION_SHARE = 0.02;

	private static final double EXCESS_SHARE = 0.25;

	private final NavigableMap<Integer, WorkWindow> own = new TreeMap<>();

	private final NavigableMap<Integer, PeerRates> peers = new TreeMap<>();

	private final FloorCredits floors;

	private final StartedWork startedWork;

	/**
	 * Creates a record without demand.
	 * @param settings limits of the service at this host
	 */
	public ReservedRoom(AdmissionSettings settings) {
		this.floors = new FloorCredits(settings.floorShare());
		this.startedWork = new StartedWork(settings.shareWindowMs());
	}

	/**
	 * Records the arrival of a request at this host, whether or not it is served.
	 * @param rank priority of the request, 0 is the most urgent
	 * @param work its work, in the unit of {@link AdmissionRequest#work()}
	 * @param nowMs current time, in milliseconds
	 */
	public void recordArrival(int rank, double work, long nowMs) {
		this.own.computeIfAbsent(rank, (key) -> new WorkWindow()).add(work, nowMs);
		this.floors.demand(rank, work, nowMs);
	}

	/**
	 * Records the start of work at this host. A rank whose requests arrive but that is
	 * below its floor of the started work reserves nothing until it has caught up.
	 * @param rank priority of the request, 0 is the most urgent
	 * @param work its work, in the unit of {@link AdmissionRequest#work()}
	 * @param nowMs current time, in milliseconds
	 */
	public void recordStart(int rank, double work, long nowMs) {
		this.floors.started(rank, work, nowMs);
	}

	/**
	 * Records the demand of a rank at another host. It is used until it is 3,000 ms old.
	 * @param host identifier of the host
	 * @param rank priority, 0 is the most urgent
	 * @param workPerS work that arrived at that host per second
	 * @param nowMs current time, in milliseconds
	 */
	public void updatePeerDemand(String host, int rank, double workPerS, long nowMs) {
		this.peers.computeIfAbsent(rank, (key) -> new PeerRates()).update(host, workPerS, nowMs);
	}

	/**
	 * Returns the share of the capacity that must remain free when work of a rank starts.
	 * @param rank priority of the work, 0 is the most urgent
	 * @param capacityWork capacity of the service, in work that it can hold at once
	 * @param nowMs current time, in milliseconds
	 * @return the share, from 0 to 0.5
	 */
	public double share(int rank, double capacityWork, long nowMs) {
		if (this.floors.isDue(rank)) {
			return 0;
		}
		double urgentPerS = 0;
		for (int urgent : this.own.headMap(rank).keySet()) {
			urgentPerS += ownDemandPerS(urgent, nowMs);
		}
		for (PeerRates demand : this.peers.headMap(rank).values()) {
			urgentPerS += demand.workPerS(nowMs);
		}
		double minimum = Math.min(MIN_SHARE_PER_RANK * rank, MAX_SHARE);
		// One second of demand is kept free. A capacity of 0 keeps the largest share.
		double demanded = (urgentPerS > 0) ? urgentPerS / capacityWork : 0;
		return Math.clamp(demanded, minimum, MAX_SHARE);
	}

	/**
	 * Records the start of a request at this host, for its rank and its organisation.
	 * @param request the request
	 * @param nowMs current time, in milliseconds
	 */
	public void recordStart(AdmissionRequest request, long nowMs) {
		recordStart(request.rank(), request.work(), nowMs);
		this.startedWork.add(request.organisation(), request.work(), nowMs);
	}

	/**
	 * Returns the share of the capacity that must remain free when a request starts: the
	 * share of its rank, and 0.02 more if its organisation recently started far more than
	 * an equal share of the work at this host.
	 * @param request the request
	 * @param capacityWork capacity of the service, in work that it can hold at once
	 * @param nowMs current time, in milliseconds
	 * @return the share, from 0 to 0.52
	 */
	public double share(AdmissionRequest request, double capacityWork, long nowMs) {
		boolean exceeds = this.startedWork.excessShare(request.organisation()) > EXCESS_SHARE;
		return share(request.rank(), capacityWork, nowMs) + ((exceeds) ? ORGANISATION_SHARE : 0);
	}

	/**
	 * Returns the demand of a rank at this host, for the digests to other hosts.
	 * @param rank priority, 0 is the most urgent
	 * @param nowMs current time, in milliseconds
	 * @return work that arrived per second, over the last 3,000 ms
	 */
	public double ownDemandPerS(int rank, long nowMs) {
		WorkWindow arrived = this.own.get(rank);
		return (arrived != null) ? arrived.workPerS(nowMs) : 0;
	}

}
