package org.medlardrum.gateway.internal.request;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.transport.api.IoExecutor;
import org.medlardrum.gateway.internal.call.Signal;

/**
 * One request as a state machine on the event loop: it handles signals and a timer until
 * a step returns an outcome. One timer is armed at a time; when it fires early it is
 * armed again, so that a due time that moves with each event costs no timer for each.
 */
public abstract class RequestRun {

	/** What all requests share. */
	protected final RequestServices services;

	/** The request. */
	protected final GatewayRequest request;

	/** The response to its caller. */
	protected final CallerResponse response;

	private final IoExecutor executor;

	private final Consumer<String> outcomeListener;

	private Cancellable timer;

	private long timerAtMs = Long.MAX_VALUE;

	private boolean ended;

	/**
	 * Creates a run.
	 * @param services what all requests share
	 * @param request the request
	 * @param response the response
	 * @param outcomeListener receives the outcome for logs and metrics
	 */
	protected RequestRun(RequestServices services, GatewayRequest request, CallerResponse response,
			Consumer<String> outcomeListener) {
		this.services = services;
		this.request = request;
		this.response = response;
		this.executor = services.executor();
		this.outcomeListener = outcomeListener;
	}

	/**
	 * Starts the request, unless its caller has left before.
	 */
	public final void start() {
		if (!this.ended) {
			step(this::begin);
		}
	}

	/**
	 * Takes a signal.
	 * @param signal the signal
	 */
	public final void on(Signal signal) {
		if (!this.ended) {
			step(() -> handle(signal));
		}
	}

	/**
	 * Makes the first step.
	 * @return the outcome, {@code null} while the request goes on
	 */
	protected abstract String begin();

	/**
	 * Handles a signal.
	 * @param signal the signal
	 * @return the outcome, {@code null} while the request goes on
	 */
	protected abstract String handle(Signal signal);

	/**
	 * Does what is due.
	 * @param nowMs clock reading
	 * @return the outcome, {@code null} while the request goes on
	 */
	protected abstract String onTimer(long nowMs);

	/**
	 * Returns when the next work is due.
	 * @return clock reading
	 */
	protected abstract long dueAtMs();

	// Ends all calls and reservations.
	protected abstract void close();

	/**
	 * Takes a repeat from the retry budget.
	 * @param part part of the log for the line of a refusal
	 * @return {@code false} when this host's share is used up
	 */
	protected final boolean tryRepeat(String part) {
		String service = this.request.service().name();
		boolean allowed = this.services.retries().tryRepeat(service, this.services.nowMs());
		if (!allowed) {
			this.services.log().event(part, "budget-used", "id", this.request.id(), "service", service);
		}
		return allowed;
	}

	private void after(String outcome) {
		if (this.ended) {
			return;
		}
		if (outcome != null) {
			this.ended = true;
			if (this.timer != null) {
				this.timer.cancel();
			}
			close();
			this.outcomeListener.accept(outcome);
			return;
		}
		long dueAtMs = dueAtMs();
		if (dueAtMs < this.timerAtMs) {
			if (this.timer != null) {
				this.timer.cancel();
			}
			this.timerAtMs = dueAtMs;
			this.timer = this.executor.schedule(this::fire, Math.max(1, dueAtMs - this.services.nowMs()),
					TimeUnit.MILLISECONDS);
		}
	}

	private void fire() {
		if (this.ended) {
			return;
		}
		this.timer = null;
		this.timerAtMs = Long.MAX_VALUE;
		long nowMs = this.services.nowMs();
		step(() -> (nowMs >= dueAtMs()) ? onTimer(nowMs) : null);
	}

	// A failed step must not leave the caller without an answer or a server at work.
	private void step(Supplier<String> work) {
		String outcome;
		try {
			outcome = work.get();
		}
		catch (RuntimeException ex) {
			this.services.log().event("request", "internal-error", "id", this.request.id(), "error", ex);
			this.response.abandon(this.request.rank());
			outcome = "internal-error";
		}
		after(outcome);
	}

}
