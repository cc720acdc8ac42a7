package org.medlardrum.gateway.internal.plain;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.medlardrum.decisions.pool.ServerLoad;
import org.medlardrum.decisions.routing.RetryAfter;
import org.medlardrum.decisions.routing.ServerSelector;
import org.medlardrum.gateway.BackendVerdict;
import org.medlardrum.gateway.ForwardPlan;
import org.medlardrum.gateway.internal.call.BackendCall;
import org.medlardrum.gateway.internal.call.BackendRequest;
import org.medlardrum.gateway.internal.call.Signal;
import org.medlardrum.gateway.internal.request.CallerResponse;
import org.medlardrum.gateway.internal.request.GatewayRequest;
import org.medlardrum.gateway.internal.request.HeaderList;
import org.medlardrum.gateway.internal.request.RequestRun;
import org.medlardrum.gateway.internal.request.RequestServices;
import org.medlardrum.protocol.problem.ProblemType;
import org.medlardrum.state.routing.ServiceInstance;

/**
 * Serves a request to a plain service. A response is passed on when it is whole. A
 * request that is not idempotent is sent again only while no server can have run it; an
 * idempotent one is also sent to a second server when the first is silent for a part of
 * the target.
 */
public final class PlainRun extends RequestRun {

	/**
	 * Part of the target latency after which a silent server gets a second one beside it;
	 * leaves the second one the time of a usual answer.
	 */
	private static final double HEDGE_PART_OF_TARGET = 0.6;

	/** Attempts of one request, with those that did not run. */
	private static final int MAX_SENDS = 4;

	/** Largest response that is passed on, in bytes. */
	private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

	private static final int SERVER_ERROR = 500;

	private static final String PART = "plain";

	private final List<PlainAttempt> active = new ArrayList<>();

	private final Set<String> tried = new HashSet<>();

	private int sends;

	/** Servers that run the request or may have run it. */
	private int runs;

	private PlainAttempt failureAnswer;

	private String lastFailure = "none";

	private long hedgeAtMs = Long.MAX_VALUE;

	/**
	 * Creates a run.
	 * @param services what all requests share
	 * @param request the request
	 * @param response the response
	 * @param outcomeListener receives the outcome for logs and metrics
	 */
	public PlainRun(RequestServices services, GatewayRequest request, CallerResponse response,
			Consumer<String> outcomeListener) {
		super(services, request, response, outcomeListener);
	}

	@Override
	protected String begin() {
		this.services.retries().onFirstAttempt(this.request.service().name(), this.services.nowMs());
		if (!send("first")) {
			return refuseBusy("no server of the service is registered");
		}
		if (this.request.route().idempotent()) {
			this.hedgeAtMs = this.request.arrivedMs()
					+ (long) (this.request.route().targetLatencyMs() * HEDGE_PART_OF_TARGET);
		}
		return null;
	}

	@Override
	protected String handle(Signal signal) {
		return switch (signal) {
			case Signal.CallerLeft left -> "caller-left";
			case Signal.Header header -> onHeader(header);
			case Signal.Data data -> onData(data);
			case Signal.End end -> onEnd(end.call());
			case Signal.Failed failed -> onFailed(failed);
			case Signal.Diagnosis diagnosis -> null;
		};
	}

	@Override
	protected long dueAtMs() {
		return Math.min(this.request.endMs(), this.hedgeAtMs);
	}

	@Override
	protected String onTimer(long nowMs) {
		return (nowMs >= this.request.endMs()) ? timedOut() : hedge();
	}

	@Override
	protected void close() {
		this.active.forEach(PlainAttempt::close);
	}

	private String hedge() {
		this.hedgeAtMs = Long.MAX_VALUE;
		if (mayRunAgain()) {
			send("silent");
		}
		return null;
	}

	private boolean mayRunAgain() {
		return this.request.route().idempotent() && this.runs < this.request.route().maxAttempts();
	}

	// Sends the request to the next server.
	private boolean send(String reason) {
		if (this.sends >= MAX_SENDS) {
			return false;
		}
		long nowMs = this.services.nowMs();
		Optional<ServiceInstance> choice = choose(nowMs);
		if (choice.isEmpty()) {
			return false;
		}
		if (this.sends > 0 && !tryRepeat(PART)) {
			return false;
		}
		ServiceInstance server = choice.get();
		this.sends++;
		this.runs++;
		this.tried.add(server.id());
		long remainingMs = this.request.endMs() - nowMs;
		ForwardPlan plan = new ForwardPlan(remainingMs, server.id(), this.request.organisation(), List.of(),
				this.request.rank(), -1);
		List<String> headers = this.services.dialect().forwardHeaders(this.request.headers(), plan);
		PlainAttempt attempt = new PlainAttempt(server, this.services.loads().reserveSlot(server.id()));
		this.active.add(attempt);
		attempt.started(BackendCall.send(this.services.clients(), new BackendRequest(server.address(),
				this.request.method(), this.request.target(), headers, this.request.body()), this::on));
		this.services.metrics().attempt(this.request.kind(), reason);
		this.services.log()
			.event(PART, "send", "id", this.request.id(), "reason", reason, "server", server.id(), "address",
					server.address(), "attempt", this.sends, "remainingMs", remainingMs, "configVersion",
					this.services.state().table().version(), "confirmedMsAgo",
					this.services.state().confirmationAgeMs());
		return true;
	}

	private Optional<ServiceInstance> choose(long nowMs) {
		String zone = this.services.settings().availabilityZone();
		Map<String, ServerLoad> loads = this.services.loads().total(nowMs);
		return ServerSelector.choose(this.services.state().fleet().instances(this.request.service().name()), zone,
				this.tried,
				(server) -> (double) loads.getOrDefault(server.id(), ServerLoad.NONE).sequences()
						/ Math.max(1, server.slots()),
				(server) -> this.services.state().isSuspect(zone, server.id(), server.availabilityZone()));
	}

	private PlainAttempt attempt(BackendCall call) {
		return this.active.stream().filter((attempt) -> attempt.call() == call).findFirst().orElse(null);
	}

	private void end(PlainAttempt attempt) {
		this.active.remove(attempt);
		attempt.close();
	}

	private String onHeader(Signal.Header header) {
		PlainAttempt attempt = attempt(header.call());
		if (attempt == null) {
			return null;
		}
		BackendVerdict verdict = this.services.dialect()
			.checkResponse(this.request.id(), header.status(), HeaderList.lookup(header.headers()));
		attempt.header(header.status(), header.headers(), verdict);
		if (!verdict.belongsToRequest()) {
			return lost(attempt, "the response belongs to another request");
		}
		return null;
	}

	private String onData(Signal.Data data) {
		PlainAttempt attempt = attempt(data.call());
		if (attempt == null) {
			return null;
		}
		attempt.data(data.bytes());
		return (attempt.bodySize() > MAX_BODY_BYTES) ? lost(attempt, "the response is too large") : null;
	}

	private String onEnd(BackendCall call) {
		PlainAttempt attempt = attempt(call);
		if (attempt == null || !attempt.hasHeader()) {
			return null;
		}
		this.services.state().answered(this.services.settings().availabilityZone(), attempt.server().id());
		if (attempt.verdict().notExecuted()) {
			return notExecuted(attempt, "status " + attempt.status() + ", not executed");
		}
		if (!attempt.verdict().hasProofOfOrigin()) {
			return lost(attempt, "status " + attempt.status() + " without the server's proof");
		}
		if (attempt.status() >= SERVER_ERROR && this.request.route().idempotent()) {
			return serverError(attempt);
		}
		return deliver(attempt);
	}

	private String serverError(PlainAttempt attempt) {
		this.lastFailure = "status " + attempt.status() + " of " + attempt.server().id();
		this.failureAnswer = attempt;
		end(attempt);
		if (mayRunAgain() && send("server-error")) {
			return null;
		}
		return (this.active.isEmpty()) ? deliver(attempt) : null;
	}

	private String deliver(PlainAttempt attempt) {
		end(attempt);
		long tookMs = this.services.nowMs() - this.request.arrivedMs();
		this.services.metrics().whole(this.request.kind(), tookMs);
		this.response.deliver(attempt.status(), this.services.dialect().responseHeaders(attempt.headers()),
				attempt.body());
		return (attempt.status() >= SERVER_ERROR) ? "server-error" : "answered";
	}

	private String onFailed(Signal.Failed failed) {
		PlainAttempt attempt = attempt(failed.call());
		if (attempt == null) {
			return null;
		}
		if (failed.notSent()) {
			this.services.state().suspect(this.services.settings().availabilityZone(), attempt.server());
			return notExecuted(attempt, failed.reason());
		}
		return lost(attempt, failed.reason());
	}

	// Goes on after an attempt that did not run.
	private String notExecuted(PlainAttempt attempt, String reason) {
		this.lastFailure = reason;
		this.runs--;
		end(attempt);
		this.services.log()
			.event(PART, "not-executed", "id", this.request.id(), "server", attempt.server().id(), "reason", reason);
		if (send("not-executed") || !this.active.isEmpty()) {
			return null;
		}
		return giveUp();
	}

	// Goes on after an attempt that may have run.
	private String lost(PlainAttempt attempt, String reason) {
		this.lastFailure = reason;
		end(attempt);
		this.services.log()
			.event(PART, "answer-lost", "id", this.request.id(), "server", attempt.server().id(), "reason", reason);
		if ((mayRunAgain() && send("answer-lost")) || !this.active.isEmpty()) {
			return null;
		}
		return giveUp();
	}

	private String giveUp() {
		if (this.failureAnswer != null) {
			return deliver(this.failureAnswer);
		}
		if (this.runs == 0) {
			return refuseBusy("no server ran the request: " + this.lastFailure);
		}
		this.response.fail(ProblemType.BACKEND_FAILED, "The answer was lost: " + this.lastFailure, this.request.rank());
		return "answer-lost";
	}

	private String refuseBusy(String detail) {
		long retryAfterMs = RetryAfter.overloadedMs(0, this.request.endMs() - this.services.nowMs(),
				this.services.random());
		this.response.refuse(ProblemType.NO_CAPACITY, detail, this.request.rank(), retryAfterMs);
		return "refused";
	}

	private String timedOut() {
		if (this.failureAnswer != null) {
			return deliver(this.failureAnswer);
		}
		for (PlainAttempt attempt : this.active) {
			this.services.state().suspect(this.services.settings().availabilityZone(), attempt.server());
		}
		this.response.fail(ProblemType.TIMED_OUT, "No answer within the time limit", this.request.rank());
		return "timed-out";
	}

}
