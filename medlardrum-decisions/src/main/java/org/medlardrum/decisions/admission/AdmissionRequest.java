package org.medlardrum.decisions.admission;

import java.util.Objects;

/**
 * A request that competes for the capacity of a service.
 *
 * @param id identifier, unique among the requests of this host
 * @param rank priority of its route, 0 is the most urgent
 * @param organisation organisation of the caller
 * @param work work that it needs: tokens times layers for a stream, 1 for a plain request
 * @param arrivedAtMs time of arrival, in milliseconds
 * @param startByMs last start at which the request's target can still be met
 */
public record AdmissionRequest(String id, int rank, String organisation, double work, long arrivedAtMs,
		long startByMs) {

	/**
	 * Checks the values.
	 */
	public AdmissionRequest {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(organisation, "organisation");
		if (rank < 0) {
			throw new IllegalArgumentException("rank is negative: " + rank);
		}
		if (!(work > 0) || Double.isInfinite(work)) {
			throw new IllegalArgumentException("work must be positive and finite: " + work);
		}
	}

}
