package org.medlardrum.gateway.internal.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.transport.api.IoExecutor;
import org.medlardrum.decisions.admission.AdmissionRequest;
import org.medlardrum.decisions.memory.BytesOwner;
import org.medlardrum.decisions.memory.HeldBytes;
import org.medlardrum.decisions.routing.AttemptLedger;
import org.medlardrum.decisions.routing.AttemptLimits;
import org.medlardrum.decisions.routing.RetryAfter;
import org.medlardrum.decisions.routing.SendDenial;
import org.medlardrum.gateway.BackendVerdict;
import org.medlardrum.gateway.ForwardPlan;
import org.medlardrum.gateway.HeaderLookup;
import org.medlardrum.gateway.RequestDialect;
import org.medlardrum.gateway.internal.admission.RequestAdmission;
import org.medlardrum.gateway.internal.call.BackendCall;
import org.medlardrum.gateway.internal.call.BackendRequest;
import org.medlardrum.gateway.internal.call.Signal;
import org.medlardrum.gateway.internal.quarantine.RequestQuarantine;
import org.medlardrum.gateway.internal.quarantine.RunningAttempt;
import org.medlardrum.gateway.internal.relay.RelayHeader;
import org.medlardrum.gateway.internal.relay.RelayTarget;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.protocol.problem.ProblemType;
import org.medlardrum.state.routing.RoutingTable;
import org.medlardrum.state.routing.ServerStart;

/**
 * Execution of one request as a state machine on the event loop. It handles signals and a
 * timer until a step returns an outcome. At most one timer is scheduled; if it fires
 * before the due time, it is scheduled again. A due time that every event postpones
 * therefore needs no new timer for each event.
 */
public abstract class RequestExecution {

	/** Limit of other hosts to which one request is passed on. */
	private static final int MAX_RELAYS = 3;

	/**
	 * A request waits for at most this part of the time that its caller had left; the
	 * rest is needed for its execution.
	 */
	private static final int WAIT_TIME_DIVISOR = 8;

	private static final int BAD_REQUEST = 400;

	private static final int SERVER_ERROR = 500;

	private static final int SERVICE_UNAVAILABLE = 503;

	/** Size limit of a response that is held until it is complete. */
	protected static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

	/** Outcome of a request whose complete response was passed on. */
	protected static final String ANSWERED = "answered";

	/** Settings, state and shared objects. */
	protected final RequestDependencies dependencies;

	/** The request. */
	protected final GatewayRequest request;

	/** The response to the caller. */
	protected final CallerResponse response;

	/** Counts the servers to which the request is sent. */
	protected final AttemptLedger ledger;

	private final String part;

	private final Set<SendDenial> loggedDenials = EnumSet.noneOf(SendDenial.class);

	private final Map<BackendCall, RunningAttempt> attempts = new IdentityHashMap<>();

	/** Hosts to which the request was passed on. */
	private final Map<BackendCall, RelayTarget> relayTargets = new IdentityHashMap<>();

	/**
	 * Address of the server whose call broke before it began to answer, {@code null} for
	 * none.
	 */
	private String brokenAddress;

	private final IoExecutor executor;

	private final Consumer<String> outcomeListener;

	/** Checks the request as if it arrived now. */
	private Supplier<String> readmission = () -> null;

	/** Configuration by which the request was admitted. */
	private final RoutingTable admittedBy;

	private Cancellable timer;

	private long timerAtMs = Long.MAX_VALUE;

	/** Whether any server has begun to answer the request. */
	private boolean begun;

	private boolean ended;

	/**
	 * Creates an execution.
	 * @param dependencies settings, state and shared objects
	 * @param request the request
	 * @param response the response
	 * @param outcomeListener receives the outcome for logs and metrics
	 * @param part part of the process in log lines
	 * @param maxSends limit of attempts, including those that were not executed
	 */
	protected RequestExecution(RequestDependencies dependencies, GatewayRequest request, CallerResponse response,
			Consumer<String> outcomeListener, String part, int maxSends) {
		this.part = part;
		this.ledger = new AttemptLedger(
				new AttemptLimits((request.source().isHost()) ? 1 : Math.max(1, request.route().maxAttempts()),
						maxSends, request.route().idempotent()),
				request.deadlineAtMs());
		this.dependencies = dependencies;
		this.request = request;
		this.response = response;
		this.executor = dependencies.executor();
		this.outcomeListener = outcomeListener;
		this.admittedBy = dependencies.state().table();
	}

	/**
	 * Sets the check that a request passes again before it starts after a wait.
	 * @param check responds and returns the outcome if a new request would not be
	 * admitted, otherwise returns {@code null}
	 */
	public final void readmitBy(Supplier<String> check) {
		this.readmission = check;
	}

	/**
	 * Checks whether a request that waits would still be admitted, and responds if not.
	 * @return the outcome, {@code null} if it would be
	 */
	protected final String recheckAdmission() {
		GatewayState state = this.dependencies.state();
		return (state.table() == this.admittedBy && state.isFresh()) ? null : this.readmission.get();
	}

	/**
	 * Records the arrival of the request for the admission to its service. Another host
	 * has decided on a request that it has passed on.
	 * @param work work of the request, in the unit of its service
	 * @param targetFraction fraction of the target latency for which the request may wait
	 * @return the admission, empty if the request does not wait
	 */
	protected final Optional<RequestAdmission> recordArrival(double work, double targetFraction) {
		if (this.request.source().isHost()) {
			return Optional.empty();
		}
		long maxWaitMs = Math.min((long) (this.request.route().targetLatencyMs() * targetFraction),
				(this.request.deadlineAtMs() - this.request.arrivedAtMs()) / WAIT_TIME_DIVISOR);
		return this.dependencies.admissions()
			.recordArrival(this.request.service(), this.request.route(),
					new AdmissionRequest(this.request.id(), this.request.rank(), this.request.organisationName(), work,
							this.request.arrivedAtMs(), this.request.arrivedAtMs() + maxWaitMs),
					this.request.deadlineAtMs());
	}

	/**
	 * Returns whether a request without a server may wait for capacity. Nothing waits for
	 * servers to which there is no path, or at a host that stops.
	 * @return {@code true} if no server can have executed it and it may still be sent
	 */
	protected final boolean mayWait() {
		GatewayState state = this.dependencies.state();
		return this.ledger.possibleExecutions() == 0 && !state.isCutOff() && !state.isDraining()
				&& sendDenial().isEmpty();
	}

	/**
	 * Executes a step that was caused by something else than a signal or the timer,
	 * unless the request has ended.
	 * @param step returns the outcome, {@code null} while the request is in progress
	 */
	protected final void runUnlessEnded(Supplier<String> step) {
		if (!this.ended) {
			runStep(step);
		}
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
			runStep(() -> {
				recordSignal(signal);
				return handleSignal(signal);
			});
		}
	}

	private void recordSignal(Signal signal) {
		if (signal instanceof Signal.Writing writing && this.attempts.containsKey(writing.call())) {
			this.attempts.get(writing.call()).recordWriting();
			this.dependencies.state().recordReached(this.attempts.get(writing.call()).serverStart().server());
		}
		if (signal instanceof Signal.Header header && this.attempts.containsKey(header.call())) {
			this.dependencies.limits()
				.recordAnswer(this.attempts.get(header.call()).serverStart().server(),
						this.dependencies.dialect().requestLimitPerS(HeaderList.lookup(header.headers())));
			recordNotice(header);
		}
		if (signal instanceof Signal.Failed failed && failed.requestNotSent()
				&& this.attempts.containsKey(failed.call())) {
			this.dependencies.state().recordUnreachable(this.attempts.get(failed.call()).serverStart().server());
		}
		if (signal instanceof Signal.Failed failed && this.relayTargets.containsKey(failed.call())) {
			this.dependencies.relayTargets().recordRefusal(this.relayTargets.get(failed.call()));
		}
		if (signal instanceof Signal.Failed failed && !failed.requestNotSent()
				&& !this.relayTargets.containsKey(failed.call())) {
			recordBroken(failed.call());
			CrashProbe.probe(this.dependencies, failed.call().address());
		}
	}

	private void recordNotice(Signal.Header header) {
		RequestDialect dialect = this.dependencies.dialect();
		HeaderLookup headers = HeaderList.lookup(header.headers());
		this.dependencies.permits()
			.recordResponse(this.attempts.get(header.call()).serverStart(), this.request.id(), header.status(),
					dialect.checkResponse(this.request.id(), header.status(), headers),
					dialect.serverNotice(header.status(), headers));
	}

	/**
	 * Ends the request because the host stops, unless it has ended.
	 */
	public final void stop() {
		if (!this.ended) {
			runStep(this::endForStop);
		}
	}

	private String endForStop() {
		if (this.response.isStarted()) {
			this.response.abort();
		}
		else if (this.ledger.possibleExecutions() == 0) {
			this.response.refuse(ProblemType.DRAINING, "The host stops", this.request.rank(),
					RetryAfter.otherHostMs(this.dependencies.random()));
		}
		else {
			this.response.fail(ProblemType.BACKEND_FAILED, "The host stops", this.request.rank());
		}
		return "host-stopped";
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
	 * Decides whether the request may be sent to another server. Takes nothing from the
	 * retry budget.
	 * @return the reason if it must not be sent, otherwise empty
	 */
	protected final Optional<SendDenial> sendDenial() {
		return sendDenial(this.dependencies.nowMs());
	}

	private Optional<SendDenial> sendDenial(long nowMs) {
		Optional<SendDenial> denial = this.ledger.denial(nowMs);
		if (denial.isEmpty() && this.dependencies.quarantine().quarantinedForMs(this.request) > 0) {
			return Optional.of(SendDenial.QUARANTINED);
		}
		if (denial.isEmpty() && isHeld()) {
			return Optional.of(SendDenial.SUSPECTED);
		}
		if (denial.isEmpty() && this.ledger.sends() > 0
				&& !this.dependencies.retries().hasRetry(this.request.service().name(), nowMs)) {
			return Optional.of(SendDenial.RETRY_BUDGET);
		}
		return denial;
	}

	// A request that a server had not begun to answer when the call broke waits until it
	// is known whether the server has crashed.
	private boolean isHeld() {
		RequestQuarantine quarantine = this.dependencies.quarantine();
		return (this.brokenAddress != null && quarantine.isProbing(this.brokenAddress))
				|| quarantine.isHeld(this.request, this::hasSpareServers);
	}

	/**
	 * Returns whether other requests go on if a trial of this one ends a server.
	 * @return {@code true} if another server can take over
	 */
	protected boolean hasSpareServers() {
		return true;
	}

	private void recordBroken(BackendCall call) {
		RunningAttempt attempt = this.attempts.get(call);
		boolean hasParts = !this.request.attributes().promptParts().isEmpty();
		this.brokenAddress = (hasParts && attempt != null && attempt.mayHaveCrashedServer()) ? call.address() : null;
	}

	/**
	 * Sends the request to a server, unless it must not be sent. The server counts before
	 * the connection is set up. The request is withheld if it has ended, its deadline has
	 * passed or the server accepts no more requests when the connection is ready.
	 * @param address {@code ip:port} of the server
	 * @param plan parameters of the attempt
	 * @return the call, empty if the request must not be sent
	 */
	protected final Optional<BackendCall> send(String address, ForwardPlan plan) {
		Optional<SendDenial> denial = takeSend(plan.instanceId());
		if (denial.isPresent()) {
			logDenial(denial.get());
			return Optional.empty();
		}
		RequestQuarantine quarantine = this.dependencies.quarantine();
		ServerStart receiver = this.dependencies.state()
			.fleet()
			.instance(plan.instanceId())
			.map(ServerStart::of)
			.orElseGet(() -> new ServerStart(plan.instanceId(), 0));
		RunningAttempt attempt = quarantine.recordStart(receiver, address, this.request, this.begun);
		long decidedAtMs = this.dependencies.nowMs();
		// On a late host, the caller's close may be in the socket when the connection is
		// ready.
		BackendRequest toSend = new BackendRequest(address, this.request.method(), this.request.target(),
				() -> this.dependencies.nowMs() - decidedAtMs >= TimerLateness.LATE_MS, () -> headersToWrite(plan),
				this.request.body());
		Runnable endSend = this.dependencies.permits().recordSend(plan.instanceId());
		BackendCall call = BackendCall.send(this.dependencies.clients(), toSend, this::onSignal, () -> {
			quarantine.recordEnd(attempt);
			endSend.run();
		});
		this.attempts.put(call, attempt);
		return Optional.of(call);
	}

	/**
	 * Records the first attempt in the retry budget. A request that is passed on at once
	 * counts at the other host.
	 */
	protected final void recordFirstAttempt() {
		boolean countsHere = switch (this.request.source()) {
			case CALLER -> !isRelayPreferred();
			case HOST_FIRST -> true;
			case HOST_AGAIN -> false;
		};
		if (countsHere) {
			this.dependencies.retries().onFirstAttempt(this.request.service().name(), this.dependencies.nowMs());
		}
	}

	/**
	 * Returns whether the request should go through another host.
	 * @return {@code true} if this host is cut off from the servers and another one is
	 * not
	 */
	protected final boolean isRelayPreferred() {
		return this.dependencies.state().isCutOff() && chooseRelay(Set.of()).isPresent();
	}

	/**
	 * Returns whether another host may reach servers that this one does not.
	 * @return {@code true} if this host reaches fewer servers than it does not
	 */
	protected final boolean isRelayPossible() {
		return !this.request.source().isHost() && this.dependencies.state().hasDegradedLinks();
	}

	/**
	 * Chooses a host to which the request may be passed on. A request that another host
	 * has passed on goes no further.
	 * @param excludedIds identifiers of hosts that must not be chosen
	 * @return the host, empty if there is none
	 */
	protected final Optional<RelayTarget> chooseRelay(Set<String> excludedIds) {
		boolean mayRelay = !this.request.source().isHost() && this.relayTargets.size() < MAX_RELAYS;
		return (mayRelay) ? this.dependencies.relayTargets().choose(excludedIds) : Optional.empty();
	}

	/**
	 * Passes the request on to another host, which sends it to one server at most. It
	 * counts as that server here.
	 * @param target the host
	 * @param lastEventId identifier of the last event the caller has received, negative
	 * for none
	 * @return the call, empty if the request must not be sent
	 */
	protected final Optional<BackendCall> relay(RelayTarget target, long lastEventId) {
		long decidedAtMs = this.dependencies.nowMs();
		boolean first = this.ledger.sends() == 0;
		Optional<SendDenial> denial = sendDenial(decidedAtMs).or(() -> this.ledger.trySend(decidedAtMs));
		if (denial.isPresent()) {
			logDenial(denial.get());
			return Optional.empty();
		}
		if (!first) {
			this.dependencies.retries().tryRetry(this.request.service().name(), decidedAtMs);
		}
		BackendRequest toSend = new BackendRequest(target.address(), this.request.method(), this.request.target(),
				() -> this.dependencies.nowMs() - decidedAtMs >= TimerLateness.LATE_MS,
				() -> relayHeadersToWrite(first, lastEventId), this.request.body());
		BackendCall call = BackendCall.send(this.dependencies.clients(), toSend, this::onSignal);
		this.relayTargets.put(call, target);
		this.dependencies.log()
			.event(this.part, "relay", "id", this.request.id(), "host", target.hostId(), "address", target.address(),
					"attempt", this.ledger.sends(), "runs", this.ledger.possibleExecutions(), "after", lastEventId,
					"unreachable", this.dependencies.state().unreachableServers().size(), "answeredMsAgo",
					this.dependencies.state().answeredMsAgo(), "remainingMs",
					this.request.deadlineAtMs() - decidedAtMs);
		return Optional.of(call);
	}

	private Optional<List<String>> relayHeadersToWrite(boolean first, long lastEventId) {
		long nowMs = this.dependencies.nowMs();
		if (!this.ledger.mayWrite(nowMs)) {
			return Optional.empty();
		}
		List<String> headers = new ArrayList<>(this.dependencies.dialect()
			.relayHeaders(this.request.headers(), this.request.deadlineAtMs() - nowMs, lastEventId));
		headers.addAll(List.of(RelayHeader.NAME, RelayHeader.value(first)));
		return Optional.of(headers);
	}

	/**
	 * Checks the status and headers of a response. A refusal of another host promises
	 * that no server executed the request if it names the request.
	 * @param header the status and headers
	 * @return the result of the check
	 */
	protected final BackendVerdict checkResponse(Signal.Header header) {
		HeaderLookup headers = HeaderList.lookup(header.headers());
		BackendVerdict verdict = this.dependencies.dialect().checkResponse(this.request.id(), header.status(), headers);
		RelayTarget target = this.relayTargets.get(header.call());
		if (target == null || verdict.hasProofOfOrigin()) {
			return verdict;
		}
		boolean refused = header.status() == SERVICE_UNAVAILABLE
				|| (header.status() >= BAD_REQUEST && header.status() < SERVER_ERROR);
		if (refused) {
			this.dependencies.relayTargets().recordRefusal(target);
		}
		boolean named = headers.first(RelayHeader.REQUEST_ID_NAME).equals(Optional.of(this.request.id()));
		return new BackendVerdict(named, false, refused && named, Optional.empty());
	}

	/**
	 * Begins to count the bytes of a response.
	 * @param serverId identifier of the server, or of the host to which the request is
	 * passed on
	 * @return the bytes, to be closed
	 */
	protected final HeldBytes holdResponse(String serverId) {
		return this.dependencies.budget()
			.open(List.of(new BytesOwner(BytesOwner.Kind.SERVER, serverId),
					new BytesOwner(BytesOwner.Kind.SERVICE, this.request.service().name())));
	}

	/**
	 * Records that a server has begun to answer, which proves that the request has not
	 * crashed it.
	 * @param call the call
	 */
	protected final void recordBegun(BackendCall call) {
		this.begun = true;
		RunningAttempt attempt = this.attempts.get(call);
		if (attempt != null) {
			this.dependencies.quarantine().recordBegun(attempt);
		}
	}

	/**
	 * Returns the delay after which the caller of a request without a server should come
	 * back.
	 * @param servers identifiers of the servers that could have received it
	 * @return the delay in milliseconds
	 */
	protected final long comeBackAfterMs(Collection<String> servers) {
		OptionalLong pauseMs = this.dependencies.permits().shortestPauseMs(servers);
		return (pauseMs.isPresent()) ? RetryAfter.afterPauseMs(pauseMs.getAsLong(), this.dependencies.random())
				: RetryAfter.overloadedMs(this.request.rank(), this.request.deadlineAtMs() - this.dependencies.nowMs(),
						this.dependencies.random());
	}

	private Optional<SendDenial> takeSend(String serverId) {
		long nowMs = this.dependencies.nowMs();
		Optional<SendDenial> denial = sendDenial(nowMs);
		if (denial.isPresent()) {
			return denial;
		}
		denial = this.dependencies.permits().denial(serverId);
		if (denial.isPresent()) {
			return denial;
		}
		if (!this.dependencies.limits().tryTake(serverId)) {
			return Optional.of(SendDenial.REQUEST_LIMIT);
		}
		if (this.ledger.sends() > 0) {
			this.dependencies.retries().tryRetry(this.request.service().name(), nowMs);
		}
		return this.ledger.trySend(nowMs);
	}

	private Optional<List<String>> headersToWrite(ForwardPlan plan) {
		long nowMs = this.dependencies.nowMs();
		// The request being written is one of those that the server may receive, so only
		// the
		// pause and the leaving of the server count.
		if (!this.ledger.mayWrite(nowMs) || !this.dependencies.permits().mayWrite(plan.instanceId())) {
			return Optional.empty();
		}
		return Optional.of(this.dependencies.dialect()
			.forwardHeaders(this.request.headers(), plan.withRemainingMs(this.request.deadlineAtMs() - nowMs)));
	}

	/**
	 * Logs why the request is not sent to another server, once for each reason.
	 * @param denial the reason
	 */
	protected final void logDenial(SendDenial denial) {
		if (this.loggedDenials.add(denial)) {
			this.dependencies.log()
				.event(this.part, (denial == SendDenial.RETRY_BUDGET) ? "budget-used" : "not-sent", "id",
						this.request.id(), "reason", denial.label(), "service", this.request.service().name(), "sends",
						this.ledger.sends(), "runs", this.ledger.possibleExecutions(), "maxAttempts",
						this.request.route().maxAttempts(), "remainingMs",
						this.request.deadlineAtMs() - this.dependencies.nowMs());
		}
	}

	private void end(String outcome) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		try {
			this.ledger.end();
			if (this.timer != null) {
				this.timer.cancel();
			}
			close();
		}
		catch (RuntimeException ex) {
			logError(ex);
		}
		finally {
			this.outcomeListener.accept(outcome);
		}
	}

	private void reschedule() {
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
			if (outcome == null && !this.ended) {
				reschedule();
			}
		}
		catch (RuntimeException | Error ex) {
			if (ex instanceof OutOfMemoryError) {
				throw ex;
			}
			outcome = endAfterError(ex);
		}
		if (outcome != null) {
			end(outcome);
		}
	}

	private String endAfterError(Throwable failure) {
		logError(failure);
		try {
			if (!this.ended) {
				this.response.abandon(this.request.rank());
			}
		}
		catch (RuntimeException ex) {
			logError(ex);
		}
		return "internal-error";
	}

	private void logError(Throwable failure) {
		this.dependencies.log().event("request", "internal-error", "id", this.request.id(), "error", failure);
	}

}
