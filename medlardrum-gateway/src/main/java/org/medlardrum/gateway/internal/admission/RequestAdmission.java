package org.medlardrum.gateway.internal.admission;

import org.medlardrum.decisions.admission.AdmissionRequest;

/**
 * Admission of one request, from its arrival to its end: it is started at once, or waits
 * until capacity is free or it is refused.
 */
public final class RequestAdmission implements AutoCloseable {

	private final ServiceAdmission service;

	private final AdmissionRequest request;

	private final String requestId;

	private final long deadlineAtMs;

	private WaitingRequest waiting;

	/** Whether the floors and shares have counted the request. */
	private boolean counted;

	private boolean running;

	private long startedAtMs;

	private long estimateMs;

	/**
	 * Creates an admission.
	 * @param service the service
	 * @param request the request, whose identifier is unique at this host
	 * @param requestId identifier that the caller sent, for logs
	 * @param deadlineAtMs deadline of the request on the monotonic clock
	 */
	RequestAdmission(ServiceAdmission service, AdmissionRequest request, String requestId, long deadlineAtMs) {
		this.service = service;
		this.request = request;
		this.requestId = requestId;
		this.deadlineAtMs = deadlineAtMs;
	}

	/**
	 * Returns whether the request may be tried at once.
	 * @return {@code false} if a waiting request comes before it
	 */
	public boolean isNext() {
		return this.service.isNext(this.request);
	}

	/**
	 * Returns whether the request may still wait.
	 * @param nowMs current time on the monotonic clock
	 * @return {@code false} if it must start now to meet its target
	 */
	public boolean hasTime(long nowMs) {
		return nowMs < this.request.startByMs();
	}

	/**
	 * Offers the request to the waitlist.
	 * @param next the request
	 * @return the outcome, {@code null} while the request waits
	 */
	public String await(WaitingRequest next) {
		end(false);
		return this.service.offer(this, next);
	}

	/**
	 * Returns whether the request waits.
	 * @return {@code true} from {@link #await} until it is started, refused or closed
	 */
	public boolean isWaiting() {
		return this.waiting != null;
	}

	/**
	 * Records that the request was sent to a server, for the first time or again.
	 * @param newEstimateMs estimate of the time until its end
	 */
	public void recordStart(long newEstimateMs) {
		this.estimateMs = Math.max(1, newEstimateMs);
		this.startedAtMs = this.service.recordStart(this, this.estimateMs, !this.counted);
		this.counted = true;
		this.running = true;
	}

	/**
	 * Records that the complete response was received.
	 */
	public void recordComplete() {
		end(true);
	}

	@Override
	public void close() {
		this.service.leave(this);
		end(false);
	}

	private void end(boolean complete) {
		if (this.running) {
			this.running = false;
			this.service.recordEnd(this, complete);
		}
	}

	AdmissionRequest request() {
		return this.request;
	}

	String requestId() {
		return this.requestId;
	}

	long deadlineAtMs() {
		return this.deadlineAtMs;
	}

	long startedAtMs() {
		return this.startedAtMs;
	}

	long estimateMs() {
		return this.estimateMs;
	}

	WaitingRequest waiting() {
		return this.waiting;
	}

	void setWaiting(WaitingRequest newWaiting) {
		this.waiting = newWaiting;
	}

}
