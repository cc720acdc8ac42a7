package org.medlardrum.decisions.admission;

import java.util.List;

/**
 * Requests of one service that wait at one host until capacity becomes free. Ranks below
 * their floor of started work come first, then the most urgent rank; within a rank,
 * organisations that started less work recently come first. Not thread-safe. <pre>{@code
 * switch (waitlist.offer(request, forecast, nowMs)) {
 *     case AdmissionOutcome.Wait wait -> { }
 *     case AdmissionOutcome.Refuse refuse -> respond(request, refuse);
 * }
 * waitlist.takeDisplaced().forEach(this::refuse);
 * for (AdmissionRequest next : waitlist.inOrder(nowMs)) {
 *     if (tryStart(next)) {
 *         waitlist.recordStart(next, nowMs);
 *     }
 * }
 * }</pre>
 */
public final class AdmissionWaitlist {

	/**
	 * Creates an empty waitlist.
	 * @param settings limits of the service at this host
	 */
	public AdmissionWaitlist(AdmissionSettings settings) {
	}

	/**
	 * Offers a request for which no capacity is free now. The waitlist may give up other
	 * requests for it, see {@link #takeDisplaced}.
	 * @param request the request
	 * @param forecast forecast of the service; it is also used by {@link #expire}
	 * @param nowMs current time, in milliseconds
	 * @return whether the request waits or is refused
	 * @throws IllegalArgumentException if a request of the same identifier waits
	 */
	public AdmissionOutcome offer(AdmissionRequest request, RoomForecast forecast, long nowMs) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Returns the requests that were given up for others since the last call. The caller
	 * must refuse them.
	 * @return the requests, in the order in which they were given up
	 */
	public List<Displaced> takeDisplaced() {
		throw new UnsupportedOperationException();
	}

	/**
	 * Returns all waiting requests in the order in which they should be tried. Requests
	 * whose last start has passed are not contained.
	 * @param nowMs current time, in milliseconds
	 * @return the requests, best first
	 */
	public List<AdmissionRequest> inOrder(long nowMs) {
		return inOrder(nowMs, Integer.MAX_VALUE);
	}

	/**
	 * Returns the first waiting requests in the order in which they should be tried.
	 * @param nowMs current time, in milliseconds
	 * @param limit largest number of requests to return
	 * @return the requests, best first
	 */
	public List<AdmissionRequest> inOrder(long nowMs, int limit) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Removes the requests that can no longer start in time. The caller must refuse them.
	 * @param nowMs current time, in milliseconds
	 * @return the removed requests
	 */
	public List<Displaced> expire(long nowMs) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Removes every request, for a stop signal. The caller must refuse them.
	 * @param reason reason of the refusal
	 * @return the removed requests, without a retry time
	 */
	public List<Displaced> removeAll(String reason) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Removes a request without counting it as started: its caller left.
	 * @param id identifier of the request
	 * @return {@code true} if the request was waiting
	 */
	public boolean remove(String id) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Records that a request started, and removes it if it was waiting. To be called for
	 * requests that started without waiting too, because floors and the shares of
	 * organisations count all started work.
	 * @param request the request
	 * @param nowMs current time, in milliseconds
	 * @return {@code true} if the request was waiting
	 */
	public boolean recordStart(AdmissionRequest request, long nowMs) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number
	 */
	public int size() {
		throw new UnsupportedOperationException();
	}

	/**
	 * Returns the number of waiting requests of a rank.
	 * @param rank the rank
	 * @return the number
	 */
	public int size(int rank) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Returns how long the request that arrived first has waited.
	 * @param nowMs current time, in milliseconds
	 * @return the time in milliseconds, 0 if nothing waits
	 */
	public long oldestWaitMs(long nowMs) {
		throw new UnsupportedOperationException();
	}

}
