package org.medlardrum.decisions;

import java.util.List;
import java.util.Optional;

import org.medlardrum.state.Rank;

/**
 * Decides which work of a pool starts next and which work is refused. Implementations are
 * not thread-safe.
 */
public sealed interface AdmissionPolicy permits AdmissionQueue, FirstComeFirstServedQueue {

	/**
	 * Offers work for admission.
	 * @param work the work
	 * @param nowMs current time, in milliseconds
	 * @return whether the work was accepted
	 */
	AdmissionDecision offer(Work work, long nowMs);

	/**
	 * Takes the next work to start. The caller ends it with {@link #finish}.
	 * @param nowMs current time, in milliseconds
	 * @return the work, empty when the concurrency window is full or nothing is queued
	 */
	Optional<Work> poll(long nowMs);

	/**
	 * Removes queued work whose caller no longer waits.
	 * @param nowMs current time, in milliseconds
	 * @return work removed since the last call; its callers still need a response
	 */
	List<Work> expire(long nowMs);

	/**
	 * Removes queued work.
	 * @param id identifier of the work
	 * @return {@code true} if the work was queued; running work must be finished instead
	 */
	boolean cancel(long id);

	/**
	 * Ends running work and frees its slot. Unknown ids are ignored.
	 * @param id identifier of the work
	 * @param actualCost cost that was actually used
	 * @param nowMs current time, in milliseconds
	 */
	void finish(long id, double actualCost, long nowMs);

	/**
	 * Replaces the limits. Queued and running work is kept.
	 * @param limits the new limits
	 */
	void update(AdmissionLimits limits);

	/**
	 * Returns the number of queued work items of a rank.
	 * @param rank the rank
	 * @return the number
	 */
	int queued(Rank rank);

	/**
	 * Returns the number of running work items.
	 * @return the number
	 */
	int running();

}
