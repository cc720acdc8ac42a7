package org.medlardrum.decisions.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * The policy of this package at one host, as the gateway uses it.
 */
class WaitlistPolicy implements ReplayPolicy {

	private static final AdmissionSettings SETTINGS = AdmissionSettings.forTimeout(20_000);

	private final boolean reservesForOrganisations;

	final RoomForecast forecast = new RoomForecast();

	final ReservedRoom reserved = new ReservedRoom(SETTINGS);

	final AdmissionWaitlist waitlist = new AdmissionWaitlist(SETTINGS);

	WaitlistPolicy() {
		this(true);
	}

	WaitlistPolicy(boolean reservesForOrganisations) {
		this.reservesForOrganisations = reservesForOrganisations;
	}

	@Override
	public void arrived(AdmissionRequest request, long nowMs) {
		this.reserved.recordArrival(request.rank(), request.work(), nowMs);
	}

	@Override
	public boolean isNext(AdmissionRequest request, long nowMs) {
		return this.waitlist.isNext(request, nowMs);
	}

	@Override
	public List<Displaced> offer(AdmissionRequest request, long nowMs) {
		AdmissionOutcome outcome = this.waitlist.offer(request, this.forecast, nowMs);
		List<Displaced> refused = new ArrayList<>(this.waitlist.takeDisplaced());
		if (outcome instanceof AdmissionOutcome.Refuse refuse) {
			refused.add(new Displaced(request, refuse.reason(), refuse.retryAfterMs()));
		}
		return refused;
	}

	@Override
	public List<Displaced> expire(long nowMs) {
		return this.waitlist.expire(nowMs);
	}

	@Override
	public List<AdmissionRequest> inOrder(long nowMs) {
		return this.waitlist.inOrder(nowMs);
	}

	@Override
	public void started(AdmissionRequest request, long endMs, long nowMs) {
		this.waitlist.recordStart(request, nowMs);
		this.reserved.recordStart(request, nowMs);
		this.forecast.recordStart(request.id(), request.rank(), request.work(), endMs);
	}

	@Override
	public void ended(AdmissionRequest request, long nowMs) {
		this.forecast.recordEnd(request.id(), nowMs);
	}

	@Override
	public double reservedShare(AdmissionRequest request, double capacityWork, long nowMs) {
		return (this.reservesForOrganisations) ? this.reserved.share(request, capacityWork, nowMs)
				: this.reserved.share(request.rank(), capacityWork, nowMs);
	}

	@Override
	public void exchange(List<? extends ReplayPolicy> hosts, long nowMs) {
		for (ReplayPolicy host : hosts) {
			if (host != this && host instanceof WaitlistPolicy peer) {
				String name = Integer.toString(hosts.indexOf(host));
				this.forecast.updatePeerRate(name, peer.forecast.servedWorkPerS(nowMs), nowMs);
				for (int rank = 0; rank < 3; rank++) {
					double workPerS = peer.reserved.ownDemandPerS(rank, nowMs);
					this.reserved.updatePeerDemand(name, rank, workPerS, nowMs);
				}
			}
		}
	}

}
