package org.medlardrum.gateway.internal.request;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.transport.api.IoExecutor;
import org.medlardrum.gateway.internal.call.Signal;

/**
 * Execution of one request as a state machine on the event loop. It handles signals and a
 * timer until a step returns an outcome. At most one timer is scheduled; if it fires
 * before the due time, it is scheduled again. A due time that every event postpones
 * therefore needs no new timer for each event.
 */
public abstract class RequestExecution {

	/** Settings, state and shared objects. */
	protected final RequestDependencies dependencies;

	/** The request. */
	protected final GatewayRequest request;

	/** The response to the caller. */
	protected final CallerResponse response;

	private final IoExecutor executor;

	private final Consumer<String> outcomeListener;

	private Cancellable timer;

	private long timerAtMs = Long.MAX_VALUE;

	private boolean ended;

	/**
	 * Creates an execution.
	 * @param dependencies settings, state and shared objects
	 * @param request the request
	 * @param response the response
	 * @param outcomeListener receives the outcome for logs and metrics
	 */
	protected RequestExecution(RequestDependencies dependencies, GatewayRequest request, CallerResponse response,
			Consumer<String> outcomeListener) {
		this.dependencies = dependencies;
		this.request = request;
		this.response = response;
		this.executor = dependencies.executor();
		this.outcomeListener = outcomeListener;
	}

	/**
	 * Starts the request, unless the caller has already disconnected.
	 */
	public final void start() {
		if (!this.ended) {
			runStep(this::firstStep);
		}
	}

	/**
	 * Handles a signal, unless the request has ended.
	 * @param signal the signal
	 */
	public final void onSignal(Signal signal) {
		if (!this.ended) {
			runStep(() -> handleSignal(signal));
		}
	}

	/**
	 * Executes the first step of the request.
	 * @return the outcome, {@code null} while the request is in progress
	 */
	protected abstract String firstStep();

	/**
	 * Handles a signal.
	 * @param signal the signal
	 * @return the outcome, {@code null} while the request is in progress
	 */
	protected abstract String handleSignal(Signal signal);

	/**
	 * Handles the timer when the due time has been reached.
	 * @param nowMs current time on the monotonic clock
	 * @return the outcome, {@code null} while the request is in progress
	 */
	protected abstract String onTimer(long nowMs);

	/**
	 * Returns when the timer is due next.
	 * @return due time on the monotonic clock
	 */
	protected abstract long dueAtMs();

	// Closes all calls and releases all reservations.
	protected abstract void close();

	/**
	 * Takes one retry from the retry budget.
	 * @param part part of the process under which a refusal is logged
	 * @return {@code false} if this host's share of the budget is exhausted
	 */
	protected final boolean tryRetry(String part) {
		String service = this.request.service().name();
		boolean allowed = this.dependencies.retries().tryRetry(service, this.dependencies.nowMs());
		if (!allowed) {
			this.dependencies.log().event(part, "budget-used", "id", this.request.id(), "service", service);
		}
		return allowed;
	}

	private void endOrReschedule(String outcome) {
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
			this.timer = this.executor.schedule(this::onTimerFired, Math.max(1, dueAtMs - this.dependencies.nowMs()),
					TimeUnit.MILLISECONDS);
		}
	}

	private void onTimerFired() {
		if (this.ended) {
			return;
		}
		long nowMs = this.dependencies.nowMs();
		this.dependencies.timerLateness().record(this.timerAtMs, nowMs);
		this.timer = null;
		this.timerAtMs = Long.MAX_VALUE;
		runStep(() -> (nowMs >= dueAtMs()) ? onTimer(nowMs) : null);
	}

	// A failed step must still send the caller a response and close all backend calls.
	private void runStep(Supplier<String> work) {
		String outcome;
		try {
			outcome = work.get();
		}
		catch (RuntimeException ex) {
			this.dependencies.log().event("request", "internal-error", "id", this.request.id(), "error", ex);
			this.response.abandon(this.request.rank());
			outcome = "internal-error";
		}
		endOrReschedule(outcome);
	}

}
