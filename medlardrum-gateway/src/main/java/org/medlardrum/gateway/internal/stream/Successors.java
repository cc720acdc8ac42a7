package org.medlardrum.gateway.internal.stream;

import java.util.ArrayList;
import java.util.List;

import org.medlardrum.gateway.internal.call.BackendCall;

/**
 * Attempts of a stream that are in progress beside the one whose events the caller
 * receives, oldest first.
 */
final class Successors {

	private final List<StreamAttempt> attempts = new ArrayList<>();

	boolean isEmpty() {
		return this.attempts.isEmpty();
	}

	void add(StreamAttempt attempt) {
		this.attempts.add(attempt);
	}

	StreamAttempt oldest() {
		return this.attempts.getFirst();
	}

	/**
	 * Returns the attempt that was started last.
	 * @param current the attempt whose events the caller receives
	 * @return the newest successor, or the current attempt without one
	 */
	StreamAttempt newestOr(StreamAttempt current) {
		return (this.attempts.isEmpty()) ? current : this.attempts.getLast();
	}

	/**
	 * Returns the attempt with a call.
	 * @param call the call
	 * @return the attempt, {@code null} for none
	 */
	StreamAttempt find(BackendCall call) {
		return this.attempts.stream().filter((attempt) -> attempt.call() == call).findFirst().orElse(null);
	}

	List<StreamAttempt> list() {
		return List.copyOf(this.attempts);
	}

	/**
	 * Returns all attempts in progress in a list that later changes do not affect.
	 * @param current the attempt whose events the caller receives
	 * @return the current attempt and its successors, oldest first
	 */
	List<StreamAttempt> listWith(StreamAttempt current) {
		List<StreamAttempt> all = new ArrayList<>(List.of(current));
		all.addAll(this.attempts);
		return all;
	}

	/**
	 * Removes an attempt without closing it.
	 * @param attempt the attempt
	 */
	void remove(StreamAttempt attempt) {
		this.attempts.remove(attempt);
	}

	/**
	 * Closes and removes all attempts except those with a reason.
	 * @param reason reason of the attempts to keep
	 * @return {@code true} if any attempt was closed
	 */
	boolean closeAllExcept(String reason) {
		return this.attempts.removeIf((attempt) -> {
			boolean closes = !attempt.reason().equals(reason);
			if (closes) {
				attempt.close();
			}
			return closes;
		});
	}

	void closeAll() {
		this.attempts.forEach(StreamAttempt::close);
		this.attempts.clear();
	}

}
