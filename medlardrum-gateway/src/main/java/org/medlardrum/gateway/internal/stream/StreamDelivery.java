package org.medlardrum.gateway.internal.stream;

import java.util.Optional;
import java.util.function.Supplier;

import org.medlardrum.decisions.memory.HeldBytes;
import org.medlardrum.decisions.pool.EventOrder;
import org.medlardrum.gateway.internal.request.CallerResponse;
import org.medlardrum.gateway.internal.request.GatewayRequest;
import org.medlardrum.gateway.internal.request.RequestDependencies;

/**
 * Delivery of a stream to its caller. Keeps what a streaming route promises about its
 * response, whatever servers run it: each complete event is passed on as it arrives, once
 * and in order, and the events of another server continue those that the caller has.
 */
final class StreamDelivery {

	private final RequestDependencies dependencies;

	private final GatewayRequest request;

	private final CallerResponse response;

	private boolean started;

	/** Content type of the response that has begun, which its continuations share. */
	private String contentType = "";

	private long lastEventId;

	private EventOrder order = EventOrder.NONE;

	/** Whether the caller has received an event that is more than a comment. */
	private boolean contentDelivered;

	private int events;

	private long firstEventMs;

	private long lastDeliveredAtMs;

	private long longestGapMs;

	/**
	 * Creates a delivery that has not started.
	 * @param dependencies settings, state and shared objects
	 * @param request the request, which names the last event that the caller has
	 * @param response the response
	 */
	StreamDelivery(RequestDependencies dependencies, GatewayRequest request, CallerResponse response) {
		this.dependencies = dependencies;
		this.request = request;
		this.response = response;
		this.lastEventId = request.attributes().lastEventId();
	}

	/**
	 * Returns whether the caller has received a part of the response.
	 * @return {@code true} after the first event
	 */
	boolean isStarted() {
		return this.started;
	}

	/**
	 * Returns the event after which the next attempt has to go on.
	 * @return identifier of the last event that the caller has, negative for none
	 */
	long lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns the number of events that were passed on.
	 * @return the number of events
	 */
	int events() {
		return this.events;
	}

	/**
	 * Returns whether the response of an attempt may be a part of the response that has
	 * begun.
	 * @param attempt the attempt
	 * @return {@code false} for another type of content
	 */
	boolean accepts(StreamAttempt attempt) {
		return !this.started || attempt.contentType().equals(this.contentType);
	}

	/**
	 * Returns whether an event is one that the caller does not have yet.
	 * @param event the event
	 * @return {@code false} for a comment or an earlier event
	 */
	boolean isNew(StreamedEvent event) {
		return event.hasContent() && (event.id() == StreamedEvent.NO_ID || event.id() > this.lastEventId);
	}

	/**
	 * Returns why an event of an attempt does not continue the events of others.
	 * @param attempt the attempt
	 * @param event the event
	 * @return the reason, empty if the event may be passed on
	 */
	Optional<String> continuationFault(StreamAttempt attempt, StreamedEvent event) {
		boolean continues = this.contentDelivered && !attempt.hasBegunResponse();
		return (continues && event.hasContent()) ? this.order.continuationFault(event.id(), attempt.receivedId())
				: Optional.empty();
	}

	/**
	 * Passes on an event, unless the caller has it.
	 * @param attempt the attempt that has received the event
	 * @param event the event
	 * @param backlog creates the count of bytes that the caller has not read
	 */
	void deliver(StreamAttempt attempt, StreamedEvent event, Supplier<HeldBytes> backlog) {
		long nowMs = this.dependencies.nowMs();
		if (event.hasContent()) {
			attempt.recordEvent(nowMs);
		}
		else if (this.started && !attempt.hasBegunResponse()) {
			return;
		}
		if (event.id() != StreamedEvent.NO_ID) {
			if (event.id() <= this.lastEventId) {
				return;
			}
			this.lastEventId = event.id();
		}
		if (event.hasContent()) {
			this.order = this.order.with(event.id());
			this.contentDelivered = true;
		}
		attempt.recordDelivered(!this.started);
		if (!this.started) {
			this.contentType = attempt.contentType();
			start(attempt, backlog);
			this.firstEventMs = nowMs - this.request.arrivedAtMs();
			this.dependencies.metrics().recordFirstByte(this.request.trafficKind(), this.firstEventMs);
		}
		else {
			this.longestGapMs = Math.max(this.longestGapMs, nowMs - this.lastDeliveredAtMs);
		}
		this.lastDeliveredAtMs = nowMs;
		this.response.write(event.bytes());
		this.events++;
	}

	private void start(StreamAttempt attempt, Supplier<HeldBytes> backlog) {
		this.started = true;
		this.response.startStream(attempt.status(), attempt.headers(), backlog.get());
	}

	/**
	 * Completes the response, which may have no events.
	 * @param attempt the attempt whose response has ended
	 * @param backlog creates the count of bytes that the caller has not read
	 */
	void complete(StreamAttempt attempt, Supplier<HeldBytes> backlog) {
		if (!this.started) {
			start(attempt, backlog);
		}
		this.response.finish();
	}

	/**
	 * Returns the time until the first event.
	 * @return the time in milliseconds, 0 without an event
	 */
	long firstEventMs() {
		return this.firstEventMs;
	}

	/**
	 * Returns the longest time between two events.
	 * @return the time in milliseconds
	 */
	long longestGapMs() {
		return this.longestGapMs;
	}

}
