package org.medlardrum.decisions.routing;

import java.util.Optional;

/**
 * Counts the servers to which one request is sent, and decides whether it may be sent to
 * another one. A server counts from before the first byte is written. It stops counting
 * only with proof that it did not execute the request: its own statement, or a failure
 * before the first byte. A server that is silent, suspect or no longer registered may
 * still execute the request. Not thread-safe.
 *
 * <pre>
 * AttemptLedger ledger = new AttemptLedger(new AttemptLimits(2, 6, true), deadlineAtMs);
 * if (ledger.trySend(nowMs).isEmpty()) {
 *     // Connect, and write the request if ledger.mayWrite(nowMs) still holds.
 * }
 * </pre>
 */
public final class AttemptLedger {

	private final AttemptLimits limits;

	private final long deadlineAtMs;

	private int sends;

	private int possibleExecutions;

	private boolean ended;

	/**
	 * Creates a ledger of a request that has not been sent yet.
	 * @param limits limits of the attempts
	 * @param deadlineAtMs deadline of the request on the monotonic clock
	 */
	public AttemptLedger(AttemptLimits limits, long deadlineAtMs) {
		this.limits = limits;
		this.deadlineAtMs = deadlineAtMs;
	}

	/**
	 * Decides whether the request may be sent to another server.
	 * @param nowMs current time on the monotonic clock
	 * @return the reason if it must not be sent, otherwise empty
	 */
	public Optional<SendDenial> denial(long nowMs) {
		if (this.ended) {
			return Optional.of(SendDenial.ENDED);
		}
		if (nowMs >= this.deadlineAtMs) {
			return Optional.of(SendDenial.DEADLINE_PASSED);
		}
		if (this.possibleExecutions > 0 && !this.limits.idempotent()) {
			return Optional.of(SendDenial.NOT_IDEMPOTENT);
		}
		if (this.possibleExecutions >= this.limits.maxServers()) {
			return Optional.of(SendDenial.SERVER_LIMIT);
		}
		return (this.sends >= this.limits.maxSends()) ? Optional.of(SendDenial.SEND_LIMIT) : Optional.empty();
	}

	/**
	 * Counts another server, unless the request must not be sent to it.
	 * @param nowMs current time on the monotonic clock
	 * @return the reason if it must not be sent, otherwise empty
	 */
	public Optional<SendDenial> trySend(long nowMs) {
		Optional<SendDenial> denial = denial(nowMs);
		if (denial.isEmpty()) {
			this.sends++;
			this.possibleExecutions++;
		}
		return denial;
	}

	/**
	 * Returns whether the first byte of a counted attempt may be written. The request may
	 * have ended, or its deadline passed, while the connection was being set up.
	 * @param nowMs current time on the monotonic clock
	 * @return {@code false} if the request must not be written
	 */
	public boolean mayWrite(long nowMs) {
		return !this.ended && nowMs < this.deadlineAtMs;
	}

	/**
	 * Records the proof that a counted server did not execute the request.
	 */
	public void recordNotExecuted() {
		if (this.possibleExecutions == 0) {
			throw new IllegalStateException("No counted server may have executed the request");
		}
		this.possibleExecutions--;
	}

	/**
	 * Ends the request; it is not sent or written again.
	 */
	public void end() {
		this.ended = true;
	}

	/**
	 * Returns the number of attempts, including those that were not executed.
	 * @return the number of attempts
	 */
	public int sends() {
		return this.sends;
	}

	/**
	 * Returns the number of servers that are executing the request or may have executed
	 * it.
	 * @return the number of servers
	 */
	public int possibleExecutions() {
		return this.possibleExecutions;
	}

}
