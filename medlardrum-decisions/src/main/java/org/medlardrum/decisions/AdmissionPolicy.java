package org.medlardrum.decisions;

import java.util.List;
import java.util.Optional;

import org.medlardrum.state.Rank;

/**
 * Decides which work of a pool starts next and which is refused. Not thread-safe.
 */
public sealed interface AdmissionPolicy permits AdmissionQueue, FirstComeFirstServedQueue {

	/**
	 * Offers work.
	 * @param work the work
	 * @param nowMs clock reading, in milliseconds
	 * @return whether the work is queued
	 */
	AdmissionDecision offer(Work work, long nowMs);

	/**
	 * Takes the next work to start. The caller ends it with {@link #finish}.
	 * @param nowMs clock reading, in milliseconds
	 * @return the work, empty when the window is full or nothing is queued
	 */
	Optional<Work> poll(long nowMs);

	/**
	 * Removes queued work whose caller no longer waits.
	 * @param nowMs clock reading, in milliseconds
	 * @return work removed since the last call; its callers still need a response
	 */
	List<Work> expire(long nowMs);

	/**
	 * Removes queued work.
	 * @param id id of the work
	 * @return {@code true} if the work was queued; running work must be finished instead
	 */
	boolean cancel(long id);

	/**
	 * Ends running work and frees its slot. Unknown ids are ignored.
	 * @param id id of the work
	 * @param actualCost cost that was really used
	 * @param nowMs clock reading, in milliseconds
	 */
	void finish(long id, double actualCost, long nowMs);

	/**
	 * Replaces the limits. Queued and running work is kept.
	 * @param limits the new limits
	 */
	void update(AdmissionLimits limits);

	/**
	 * Returns the pieces of work of a rank that are queued.
	 * @param rank the rank
	 * @return the number
	 */
	int queued(Rank rank);

	/**
	 * Returns the pieces of work that run.
	 * @return the number
	 */
	int running();

}
