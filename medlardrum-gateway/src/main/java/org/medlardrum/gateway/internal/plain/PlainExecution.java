package org.medlardrum.gateway.internal.plain;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.medlardrum.decisions.routing.SendDenial;
import org.medlardrum.gateway.BackendVerdict;
import org.medlardrum.gateway.ForwardPlan;
import org.medlardrum.gateway.internal.admission.RequestAdmission;
import org.medlardrum.gateway.internal.admission.WaitingRequest;
import org.medlardrum.gateway.internal.call.BackendCall;
import org.medlardrum.gateway.internal.call.ReceivedBody;
import org.medlardrum.gateway.internal.call.Signal;
import org.medlardrum.gateway.internal.relay.RelayTarget;
import org.medlardrum.gateway.internal.request.CallerResponse;
import org.medlardrum.gateway.internal.request.GatewayRequest;
import org.medlardrum.gateway.internal.request.RequestDependencies;
import org.medlardrum.gateway.internal.request.RequestExecution;
import org.medlardrum.protocol.problem.ProblemType;
import org.medlardrum.state.routing.ServiceInstance;

/**
 * Executes a request of a route without streams to a plain service. A response is passed
 * on once it is complete. A request that is not idempotent is retried only while no
 * server can have executed it. An idempotent one is also hedged: it is sent to a second
 * server when the first has not responded within a fraction of the target latency.
 */
public final class PlainExecution extends RequestExecution {

	/**
	 * Fraction of the target latency after which a hedged request is sent to a second
	 * server. The rest leaves the second server the time of a typical response.
	 */
	private static final double HEDGE_FRACTION_OF_TARGET = 0.6;

	/** Limit of attempts of one request, including those that were not executed. */
	private static final int MAX_ATTEMPTS = 4;

	private static final int SERVER_ERROR = 500;

	/**
	 * Fraction of the target latency for which a request may wait; the rest is needed for
	 * its execution.
	 */
	private static final double WAIT_FRACTION_OF_TARGET = 0.5;

	private static final String PART = "plain";

	/** Prefix of the reason of attempts through another host, in metrics. */
	private static final String RELAY_PREFIX = "relay-";

	private final List<PlainAttempt> active = new ArrayList<>();

	private final Set<String> tried = new HashSet<>();

	private final PlainServers servers;

	private PlainAttempt failedResponse;

	private String lastFailure = "none";

	private long hedgeAtMs = Long.MAX_VALUE;

	private final WaitingPlain waiting = new WaitingPlain();

	/** Whether the request waits for a slot rather than in the queue of a server. */
	private boolean withinSlots;

	/** Empty if the request does not wait for a slot. */
	private Optional<RequestAdmission> admission = Optional.empty();

	/**
	 * Creates an execution.
	 * @param dependencies settings, state and shared objects
	 * @param request the request
	 * @param response the response
	 * @param outcomeListener receives the outcome for logs and metrics
	 */
	public PlainExecution(RequestDependencies dependencies, GatewayRequest request, CallerResponse response,
			Consumer<String> outcomeListener) {
		super(dependencies, request, response, outcomeListener, PART, MAX_ATTEMPTS);
		this.servers = new PlainServers(dependencies, request);
	}

	@Override
	protected String firstStep() {
		recordFirstAttempt();
		this.admission = recordArrival(1, WAIT_FRACTION_OF_TARGET);
		// A request that another host has passed on does not wait.
		this.withinSlots = this.admission.isPresent();
		boolean next = this.admission.map(RequestAdmission::isNext).orElse(true) || !hasTime() || !mayWait();
		return (next && sendFirst("first", this.request.arrivedAtMs())) ? null
				: waitOrRefuse("no server of the service is registered or may be sent more requests");
	}

	// A request that a server may have run must not be lost for want of a slot.
	private boolean mustFindSlot() {
		return this.withinSlots && this.ledger.possibleExecutions() == this.active.size()
				&& this.failedResponse == null;
	}

	private boolean sendFirst(String reason, long hedgeFromMs) {
		boolean sent = send(reason);
		if (sent) {
			recordStart();
			if (this.request.route().idempotent()) {
				this.hedgeAtMs = hedgeFromMs
						+ (long) (this.request.route().targetLatencyMs() * HEDGE_FRACTION_OF_TARGET);
			}
		}
		return sent;
	}

	// The admission corrects the estimate by the durations that it has seen.
	private void recordStart() {
		this.admission.ifPresent((present) -> present.recordStart(this.servers.estimatedDurationMs()));
	}

	// Waits for a slot, unless there is no server that could have a free one.
	private String waitOrRefuse(String detail) {
		if (this.admission.isPresent() && !hasTime() && this.waiting.startLate()) {
			return null;
		}
		if (!hasTime() || !mayWait() || !this.servers.hasUntried(this.tried)) {
			return refuseWithoutCapacity(detail);
		}
		this.hedgeAtMs = Long.MAX_VALUE;
		return this.admission.get().await(this.waiting);
	}

	private boolean hasTime() {
		return this.admission.map((present) -> present.hasTime(this.dependencies.nowMs())).orElse(false);
	}

	@Override
	protected String handleSignal(Signal signal) {
		return switch (signal) {
			case Signal.CallerDisconnected disconnected -> "caller-left";
			case Signal.Header header -> onHeader(header);
			case Signal.Data data -> onData(data);
			case Signal.End end -> onEnd(end.call());
			case Signal.Failed failed -> onFailed(failed);
			case Signal.Writing writing -> null;
			case Signal.Withheld withheld -> onWithheld(withheld);
			case Signal.StallDiagnosis diagnosis -> null;
		};
	}

	@Override
	protected long dueAtMs() {
		return Math.min(this.request.deadlineAtMs(), this.hedgeAtMs);
	}

	@Override
	protected String onTimer(long nowMs) {
		return (nowMs >= this.request.deadlineAtMs()) ? onTimeout() : hedge();
	}

	@Override
	protected void close() {
		this.active.forEach(PlainAttempt::close);
		this.admission.ifPresent(RequestAdmission::close);
		if (this.failedResponse != null) {
			this.failedResponse.close();
		}
	}

	private String hedge() {
		this.hedgeAtMs = Long.MAX_VALUE;
		send("silent");
		return null;
	}

	// Sends the request to the next server; false if none is left or allowed.
	private boolean send(String reason) {
		Optional<SendDenial> denial = sendDenial();
		if (denial.isPresent()) {
			logDenial(denial.get());
			return false;
		}
		long nowMs = this.dependencies.nowMs();
		if (isRelayPreferred() && passOn(reason)) {
			return true;
		}
		Optional<ServiceInstance> choice = this.servers.choose(this.tried, mustFindSlot());
		boolean unreachable = choice.isEmpty()
				|| this.dependencies.state().unreachableServers().contains(choice.get().id());
		if (unreachable && isRelayPossible() && passOn(reason)) {
			return true;
		}
		if (choice.isEmpty()) {
			return false;
		}
		ServiceInstance server = choice.get();
		long remainingMs = this.request.deadlineAtMs() - nowMs;
		ForwardPlan plan = new ForwardPlan(remainingMs, server.id(), this.request.organisation(), List.of(),
				this.request.rank(), this.request.attributes().lastEventId());
		Optional<BackendCall> call = send(server.address(), plan);
		if (call.isEmpty()) {
			return false;
		}
		this.tried.add(server.id());
		this.active.add(new PlainAttempt(server, false, this.dependencies.loads().reserveSlot(server.id()), call.get(),
				new ReceivedBody(holdResponse(server.id()))));
		this.dependencies.metrics().countAttempt(this.request.trafficKind(), reason);
		this.dependencies.log()
			.event(PART, "send", "id", this.request.id(), "kind", this.request.trafficKind(), "reason", reason,
					"service", this.request.service().name(), "server", server.id(), "address", server.address(),
					"attempt", this.ledger.sends(), "after", plan.lastEventId(), "runs",
					this.ledger.possibleExecutions(), "maxAttempts", this.request.route().maxAttempts(), "remainingMs",
					remainingMs, "timerLateMs", this.dependencies.timerLateness().latestMs(), "configVersion",
					this.dependencies.state().table().version(), "confirmedMsAgo",
					this.dependencies.state().confirmationAgeMs());
		return true;
	}

	// Passes the request on to another host; false if none is left or allowed.
	private boolean passOn(String reason) {
		Optional<RelayTarget> target = chooseRelay(this.tried);
		Optional<BackendCall> call = target.flatMap((host) -> relay(host, this.request.attributes().lastEventId()));
		if (call.isEmpty()) {
			return false;
		}
		ServiceInstance host = new ServiceInstance(target.get().id(), this.request.service().name(),
				target.get().address(), "", 1, false, 0, "", Optional.empty());
		this.tried.add(host.id());
		this.active.add(new PlainAttempt(host, true, this.dependencies.loads().reserveNothing(), call.get(),
				new ReceivedBody(holdResponse(host.id()))));
		this.dependencies.metrics().countAttempt(this.request.trafficKind(), RELAY_PREFIX + reason);
		return true;
	}

	private PlainAttempt attemptOf(BackendCall call) {
		return this.active.stream().filter((attempt) -> attempt.call() == call).findFirst().orElse(null);
	}

	private void closeAttempt(PlainAttempt attempt) {
		this.active.remove(attempt);
		attempt.close();
	}

	private String onHeader(Signal.Header header) {
		PlainAttempt attempt = attemptOf(header.call());
		if (attempt == null) {
			return null;
		}
		BackendVerdict verdict = checkResponse(header);
		attempt.setHeader(header.status(), header.headers(), verdict);
		if (verdict.belongsToRequest() && !attempt.isRelayed()) {
			this.dependencies.state()
				.recordAnswer(this.dependencies.settings().availabilityZone(), attempt.server().id());
		}
		if (verdict.belongsToRequest() && !verdict.notExecuted()) {
			recordBegun(header.call());
		}
		if (!verdict.belongsToRequest()) {
			return onResponseLost(attempt, "the response belongs to another request");
		}
		return null;
	}

	private String onData(Signal.Data data) {
		PlainAttempt attempt = attemptOf(data.call());
		if (attempt == null) {
			return null;
		}
		attempt.body().add(data.bytes());
		if (attempt.body().sizeBytes() > MAX_BODY_BYTES) {
			return onResponseLost(attempt, "the response is too large");
		}
		if (attempt.readOn()) {
			logWaiting(attempt);
		}
		return null;
	}

	private void logWaiting(PlainAttempt attempt) {
		this.dependencies.log()
			.event(PART, "waits-for-memory", "id", this.request.id(), "server", attempt.server().id(), "bodyBytes",
					attempt.body().sizeBytes(), "heldBytes", this.dependencies.budget().usedBytes());
	}

	private String onEnd(BackendCall call) {
		PlainAttempt attempt = attemptOf(call);
		if (attempt == null || !attempt.hasHeader()) {
			return null;
		}
		this.dependencies.state()
			.clearSuspicion(this.dependencies.settings().availabilityZone(), attempt.server().id());
		if (attempt.verdict().notExecuted()) {
			return onNotExecuted(attempt, "status " + attempt.status() + ", not executed");
		}
		if (!attempt.verdict().hasProofOfOrigin()) {
			return onResponseLost(attempt, "status " + attempt.status() + " without the server's proof");
		}
		if (attempt.status() >= SERVER_ERROR && this.request.route().idempotent()) {
			return onServerError(attempt);
		}
		return deliver(attempt);
	}

	private String onServerError(PlainAttempt attempt) {
		this.lastFailure = "status " + attempt.status() + " of " + attempt.server().id();
		if (this.failedResponse != null) {
			this.failedResponse.close();
		}
		this.failedResponse = attempt;
		keepResponse(attempt);
		if (send("server-error")) {
			return null;
		}
		return (this.active.isEmpty()) ? deliver(attempt) : null;
	}

	private void keepResponse(PlainAttempt attempt) {
		this.active.remove(attempt);
		attempt.closeCall();
	}

	private String deliver(PlainAttempt attempt) {
		keepResponse(attempt);
		if (attempt == this.failedResponse) {
			this.failedResponse = null;
		}
		long tookMs = this.dependencies.nowMs() - this.request.arrivedAtMs();
		this.dependencies.metrics().recordCompleteResponse(this.request.trafficKind(), tookMs);
		this.response.deliver(attempt.status(), this.dependencies.dialect().responseHeaders(attempt.headers()),
				attempt.body());
		this.admission.ifPresent(RequestAdmission::recordComplete);
		return (attempt.status() >= SERVER_ERROR) ? "server-error" : ANSWERED;
	}

	private String onFailed(Signal.Failed failed) {
		PlainAttempt attempt = attemptOf(failed.call());
		if (attempt == null) {
			return null;
		}
		if (failed.requestNotSent()) {
			suspect(attempt);
			return onNotExecuted(attempt, failed.reason());
		}
		return onResponseLost(attempt, failed.reason());
	}

	private void suspect(PlainAttempt attempt) {
		if (!attempt.isRelayed()) {
			this.dependencies.state().suspect(this.dependencies.settings().availabilityZone(), attempt.server());
		}
	}

	// The deadline or the server withholds a call while the request is in progress.
	private String onWithheld(Signal.Withheld withheld) {
		PlainAttempt attempt = attemptOf(withheld.call());
		if (attempt == null) {
			return null;
		}
		if (this.ledger.mayWrite(this.dependencies.nowMs())) {
			return onNotExecuted(attempt, "the server accepts no more requests");
		}
		this.ledger.recordNotExecuted();
		closeAttempt(attempt);
		this.dependencies.log()
			.event(PART, "withheld", "id", this.request.id(), "server", attempt.server().id(), "reason",
					"the deadline passed before the first byte");
		return onTimeout();
	}

	// Continues after an attempt that was not executed.
	private String onNotExecuted(PlainAttempt attempt, String reason) {
		this.lastFailure = reason;
		this.ledger.recordNotExecuted();
		closeAttempt(attempt);
		this.dependencies.log()
			.event(PART, "not-executed", "id", this.request.id(), "server", attempt.server().id(), "reason", reason);
		if (send("not-executed")) {
			recordStart();
			return null;
		}
		if (!this.active.isEmpty()) {
			return null;
		}
		return abandon();
	}

	// Continues after an attempt without a valid response that may have been executed.
	private String onResponseLost(PlainAttempt attempt, String reason) {
		this.lastFailure = reason;
		closeAttempt(attempt);
		this.dependencies.log()
			.event(PART, "answer-lost", "id", this.request.id(), "server", attempt.server().id(), "reason", reason);
		if (send("answer-lost") || !this.active.isEmpty()) {
			return null;
		}
		return abandon();
	}

	private String abandon() {
		if (this.failedResponse != null) {
			return deliver(this.failedResponse);
		}
		if (this.ledger.possibleExecutions() == 0) {
			return waitOrRefuse("no server ran the request: " + this.lastFailure);
		}
		this.response.fail(ProblemType.BACKEND_FAILED, "The answer was lost: " + this.lastFailure, this.request.rank());
		return "answer-lost";
	}

	private String refuseWithoutCapacity(String detail) {
		this.response.refuse(ProblemType.NO_CAPACITY, detail, this.request.rank(), comeBackAfterMs(this.servers.ids()));
		return "refused";
	}

	private String onTimeout() {
		if (this.failedResponse != null) {
			return deliver(this.failedResponse);
		}
		this.active.stream().filter((attempt) -> !attempt.isWaiting()).forEach(this::suspect);
		this.response.fail(ProblemType.TIMED_OUT, "No answer within the time limit", this.request.rank());
		return "timed-out";
	}

	/**
	 * The request as the waitlist uses it.
	 */
	private final class WaitingPlain implements WaitingRequest {

		@Override
		public void run(Supplier<String> step) {
			runUnlessEnded(step);
		}

		@Override
		public String recheck() {
			return recheckAdmission();
		}

		@Override
		public String tryStart() {
			PlainExecution execution = PlainExecution.this;
			Optional<SendDenial> denial = sendDenial();
			if (denial.isEmpty()) {
				execution.sendFirst("waited", execution.dependencies.nowMs());
			}
			return (denial.isEmpty() || denial.get() == SendDenial.SUSPECTED) ? null
					: execution.refuseWithoutCapacity("the request may not be sent any more");
		}

		@Override
		public boolean startLate() {
			PlainExecution execution = PlainExecution.this;
			execution.withinSlots = false;
			return execution.mayWait() && execution.sendFirst("queued", execution.dependencies.nowMs());
		}

		@Override
		public String refuse(ProblemType type, String reason, long retryAfterMs) {
			PlainExecution execution = PlainExecution.this;
			if (execution.ledger.possibleExecutions() > 0) {
				return execution.abandon();
			}
			execution.response.refuse(type, reason, execution.request.rank(), retryAfterMs);
			return "refused";
		}

	}

}
