package org.medlardrum.decisions.admission;

import java.util.List;

/**
 * Policy of one host in an {@link AdmissionReplay}. The defaults are the earlier policy:
 * first come, first served, and refused at once.
 */
interface ReplayPolicy {

	default void arrived(AdmissionRequest request, long nowMs) {
	}

	default boolean isNext(AdmissionRequest request, long nowMs) {
		return true;
	}

	// Returns the requests that are refused because of the offer.
	default List<Displaced> offer(AdmissionRequest request, long nowMs) {
		// The gateway draws from 1.5 to 3.5 s; the mean is used here.
		return List.of(new Displaced(request, "no capacity", 2500 + 700 * request.rank()));
	}

	default List<Displaced> expire(long nowMs) {
		return List.of();
	}

	default List<AdmissionRequest> inOrder(long nowMs) {
		return List.of();
	}

	default void started(AdmissionRequest request, long endMs, long nowMs) {
	}

	default void ended(AdmissionRequest request, long nowMs) {
	}

	default double reservedShare(AdmissionRequest request, double capacityWork, long nowMs) {
		return 0.06 * request.rank();
	}

	default void exchange(List<? extends ReplayPolicy> hosts, long nowMs) {
	}

}
