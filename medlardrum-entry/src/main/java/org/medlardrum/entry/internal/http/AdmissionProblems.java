package org.medlardrum.entry.internal.http;

import org.medlardrum.entry.internal.admission.AdmissionResult;
import org.medlardrum.protocol.problem.Problem;
import org.medlardrum.protocol.problem.ProblemType;
import org.medlardrum.state.Rank;

/**
 * Converts the result of a request that was not admitted to the problem for its caller.
 */
final class AdmissionProblems {

	private AdmissionProblems() {
	}

	/**
	 * Returns the problem of a request that was not admitted.
	 * @param result result of the admission
	 * @param rank rank of the request
	 * @return the problem
	 * @throws IllegalArgumentException if the request was admitted
	 */
	static Problem of(AdmissionResult result, Rank rank) {
		return switch (result) {
			case AdmissionResult.Refused refused -> Problem.notRun(ProblemType.OVERLOADED, refused.reason(), rank,
					Math.max(refused.retryAfterMs(), CallerContext.MIN_RETRY_AFTER_MS));
			case AdmissionResult.NoServers none -> Problem.notRun(ProblemType.NO_CAPACITY,
					"the pool has no usable backend servers", rank, CallerContext.MIN_RETRY_AFTER_MS);
			case AdmissionResult.Expired expired -> Problem.notRun(ProblemType.TIMED_OUT,
					"the timeout of the route passed in the queue", rank, CallerContext.MIN_RETRY_AFTER_MS);
			case AdmissionResult.Started started ->
				throw new IllegalArgumentException("An admitted request has no problem");
		};
	}

}
