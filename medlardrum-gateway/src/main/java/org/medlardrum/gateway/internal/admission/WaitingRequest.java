package org.medlardrum.gateway.internal.admission;

import java.util.function.Supplier;

import org.medlardrum.protocol.problem.ProblemType;

/**
 * A request that waits for capacity, as its waitlist uses it. All methods but
 * {@link #run} are called within a step.
 */
public interface WaitingRequest {

	/**
	 * Executes a step of the request, unless it has ended.
	 * @param step returns the outcome, {@code null} while the request is in progress
	 */
	void run(Supplier<String> step);

	/**
	 * Checks whether the configuration still admits the request, and responds if not.
	 * @return the outcome, {@code null} if it is still admitted
	 */
	String recheck();

	/**
	 * Sends the request if capacity is free, and calls
	 * {@link RequestAdmission#recordStart} then.
	 * @return the outcome, {@code null} while the request is in progress
	 */
	String tryStart();

	/**
	 * Sends the request although no capacity is free, if a server can queue it. Called
	 * when the request can no longer start in time, since a late response costs its
	 * caller less than a refusal.
	 * @return {@code true} if it was sent
	 */
	boolean startLate();

	/**
	 * Refuses the request.
	 * @param type type of the problem
	 * @param reason explanation for the caller
	 * @param retryAfterMs time after which the caller may retry, 0 for none
	 * @return the outcome
	 */
	String refuse(ProblemType type, String reason, long retryAfterMs);

}
