package org.medlardrum.gateway.internal.stream;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.medlardrum.decisions.memory.HeldBytes;
import org.medlardrum.decisions.pool.SilenceDecision;
import org.medlardrum.decisions.pool.SilencePolicy;
import org.medlardrum.decisions.pool.SilentAttempt;
import org.medlardrum.decisions.pool.StreamLimits;
import org.medlardrum.decisions.pool.StreamStallDetector;
import org.medlardrum.decisions.routing.SendDenial;
import org.medlardrum.gateway.BackendVerdict;
import org.medlardrum.gateway.ForwardPlan;
import org.medlardrum.gateway.internal.admission.RequestAdmission;
import org.medlardrum.gateway.internal.call.BackendCall;
import org.medlardrum.gateway.internal.call.Signal;
import org.medlardrum.gateway.internal.relay.RelayTarget;
import org.medlardrum.gateway.internal.request.CallerResponse;
import org.medlardrum.gateway.internal.request.GatewayRequest;
import org.medlardrum.gateway.internal.request.RequestDependencies;
import org.medlardrum.gateway.internal.request.RequestExecution;
import org.medlardrum.gateway.internal.state.FleetView;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.protocol.problem.ProblemType;
import org.medlardrum.state.routing.ServiceInstance;

/**
 * Executes a streamed request, at chains of engines or at servers of a plain service, and
 * a request of another route to engines, whose response is passed on once it is complete.
 * When an attempt fails, the stream resumes at other servers after the last event that
 * the caller has received. A silent server may still recover and the other one may
 * refuse, so it is kept until the other one sends an event.
 */
public final class StreamExecution extends RequestExecution {

	/**
	 * Time between a server's notice that it leaves and the failover of its streams.
	 * Servers continue to serve for at least 2 s after the notice, and most streams end
	 * before.
	 */
	private static final long LEAVING_GRACE_MS = 1_400;

	/**
	 * Interval between two searches for other servers for a stream whose server is
	 * leaving.
	 */
	private static final long LEAVING_RETRY_INTERVAL_MS = 200;

	private static final int BAD_REQUEST = 400;

	private static final int SERVER_ERROR = 500;

	/**
	 * Fraction of the target for the first event for which a request may wait; the rest
	 * is needed for the prefill.
	 */
	private static final double WAIT_FRACTION_OF_TARGET = 0.7;

	private static final String PART = "stream";

	/** Prefix of the reason of attempts through another host, in metrics. */
	private static final String RELAY_PREFIX = "relay-";

	private static final String REASON_STALLED = "silent-moved";

	private static final String REASON_STALLED_DIAGNOSED = "stalled";

	private static final String REASON_LEAVING = "leaving";

	private final StreamServers servers;

	private final StreamDelivery delivery;

	private final StallProbe probe;

	private final ServerSearch search;

	private final Set<String> excluded = new HashSet<>();

	/**
	 * The attempt whose events the caller receives, {@code null} while searching for
	 * other servers.
	 */
	private StreamAttempt current;

	/** Concurrent attempts at other servers. */
	private final Successors successors = new Successors();

	private long leavingCheckAtMs = Long.MIN_VALUE;

	/**
	 * Creates an execution.
	 * @param dependencies settings, state and shared objects
	 * @param request the request
	 * @param response the response
	 * @param outcomeListener receives the outcome for logs and metrics
	 */
	public StreamExecution(RequestDependencies dependencies, GatewayRequest request, CallerResponse response,
			Consumer<String> outcomeListener) {
		super(dependencies, request, response, outcomeListener, PART, StreamLimits.MAX_ATTEMPTS);
		this.servers = chooseServers();
		this.delivery = new StreamDelivery(dependencies, request, response);
		this.probe = new StallProbe(dependencies, this::onSignal);
		this.search = new ServerSearch(dependencies, request, response, this.ledger, this.servers,
				new SearchedStream());
	}

	private StreamServers chooseServers() {
		BooleanSupplier mayHaveRun = () -> this.ledger.possibleExecutions() > 0;
		return (this.request.service().pool().isPresent())
				? new ChainChooser(this.dependencies, this.request, mayHaveRun)
				: new ServerChooser(this.dependencies, this.request, mayHaveRun);
	}

	@Override
	protected String firstStep() {
		recordFirstAttempt();
		return this.search.begin();
	}

	@Override
	protected String handleSignal(Signal signal) {
		return switch (signal) {
			case Signal.CallerDisconnected disconnected -> "caller-left";
			case Signal.Header header -> onHeader(header);
			case Signal.Data data -> onData(data);
			case Signal.End end -> onEnd(end);
			case Signal.Failed failed -> onFailed(failed);
			case Signal.Writing writing -> onWriting(writing);
			case Signal.Withheld withheld -> onWithheld(withheld);
			case Signal.StallDiagnosis diagnosis -> onDiagnosis(diagnosis);
		};
	}

	@Override
	protected long dueAtMs() {
		long dueMs = Math.min(this.request.deadlineAtMs(), this.search.dueAtMs());
		if (this.current != null) {
			dueMs = Math.min(dueMs, this.current.stallCheckAtMs());
		}
		for (StreamAttempt successor : this.successors.list()) {
			dueMs = Math.min(dueMs, successor.stallCheckAtMs());
		}
		return dueMs;
	}

	@Override
	protected String onTimer(long nowMs) {
		if (nowMs >= this.request.deadlineAtMs()) {
			return onTimeout();
		}
		if (this.search.isSearching()) {
			return this.search.search(nowMs);
		}
		boolean late = this.dependencies.timerLateness().isLate();
		for (StreamAttempt attempt : this.successors.listWith(this.current)) {
			if (nowMs >= attempt.stallCheckAtMs() && !attempt.deferStallCheck(late, nowMs)) {
				onStallCheck(attempt, nowMs);
			}
		}
		tryOthersForLeaving(nowMs);
		return null;
	}

	@Override
	protected void close() {
		this.successors.closeAll();
		endCurrent();
		this.search.close();
	}

	// Tries other servers after an unusually long gap between events, or sooner if a
	// server is suspect. Probes the stalled chain if the gap lasts. A leaving server
	// still delivers events, so its successor has time.
	private void onStallCheck(StreamAttempt attempt, long nowMs) {
		if (attempt != this.current && this.current.isBelowThreshold(nowMs)) {
			attempt.scheduleStallCheck(nowMs + StreamLimits.PROBE_INTERVAL_MS);
			return;
		}
		StreamStallDetector gaps = attempt.eventGaps();
		boolean stalled = gaps.currentGapMs(nowMs) >= gaps.stallThresholdMs();
		SilenceDecision decision = null;
		if (stalled || hasSuspectServer(attempt)) {
			decision = tryOthers(attempt, nowMs);
		}
		if (!stalled) {
			attempt.scheduleStallCheck(nowMs + gaps.nextCheckMs(gaps.currentGapMs(nowMs)));
			return;
		}
		long untilProbeMs = StreamStallDetector.PROBE_AFTER_MS - gaps.currentGapMs(nowMs);
		if (untilProbeMs > 0) {
			attempt.scheduleStallCheck(nowMs + untilProbeMs);
		}
		else if (attempt.isFaultKnown()) {
			scheduleNextSearch(attempt, decision, nowMs);
		}
		else {
			probeStall(attempt, nowMs);
		}
	}

	private static void scheduleNextSearch(StreamAttempt attempt, SilenceDecision decision, long nowMs) {
		attempt.scheduleStallCheck(nowMs
				+ SilencePolicy.nextCheckMs(decision, nowMs - attempt.faultKnownAtMs(), attempt.failedSuccessors()));
	}

	// Tries other servers concurrently if the stream has no attempt that is less silent.
	private SilenceDecision tryOthers(StreamAttempt silent, long nowMs) {
		StreamStallDetector gaps = silent.eventGaps();
		boolean awaitsOther = silent != this.successors.newestOr(this.current)
				|| this.successors.listWith(this.current).stream().anyMatch((other) -> other.isBelowThreshold(nowMs));
		Optional<SendDenial> denial = (awaitsOther) ? Optional.empty() : sendDenial();
		long usualGapMs = (hasSuspectServer(silent)) ? 0 : gaps.usualGapMs();
		SilenceDecision decision = SilencePolicy.decide(new SilentAttempt(gaps.currentGapMs(nowMs), gaps.hasBegun(),
				!silent.target().reportsStalls(), usualGapMs, silent.isFaultKnown(), awaitsOther, denial));
		switch (decision) {
			case SilenceDecision.TrySpareChain spare -> trySpareServers(silent, nowMs);
			case SilenceDecision.TryAnyChain any -> tryAnyServers(silent, nowMs);
			case SilenceDecision.Keep keep -> {
				logKept(silent, keep.reason(), nowMs);
				if (silent.isFaultKnown()) {
					denial.ifPresent(this::logDenial);
				}
			}
		}
		return decision;
	}

	// Starts a concurrent attempt at none of the silent servers, in time for the stream's
	// target. The server that causes the stall is not identified yet.
	private void trySpareServers(StreamAttempt silent, long nowMs) {
		Set<String> excludedServers = excludedWithAttempts();
		if (isRelayed(silent) || isRelayPreferred()) {
			StreamAttempt relayed = startRelay(REASON_STALLED, excludedServers);
			addSuccessor(relayed);
			if (relayed != null || isRelayPreferred()) {
				return;
			}
		}
		Optional<ReservedTarget> spare = this.servers.chooseSpare(excludedServers, this.delivery.isStarted());
		if (spare.isPresent()) {
			logAttempt(REASON_STALLED, "no event for " + silent.eventGaps().currentGapMs(nowMs) + " ms");
			addSuccessor(startAttempt(spare.get(), REASON_STALLED, excludedServers));
		}
		else {
			logKept(silent, "no-spare-chain", nowMs);
		}
	}

	private static boolean isRelayed(StreamAttempt attempt) {
		return attempt.target() instanceof StreamTarget.OtherHost;
	}

	// Starts a concurrent attempt without the server that causes the stall.
	private void tryAnyServers(StreamAttempt silent, long nowMs) {
		Set<String> faulty = excludedWithFaults();
		StreamAttempt next = (isRelayPreferred()) ? startRelay(REASON_STALLED_DIAGNOSED, excludedWithAttempts()) : null;
		if (next == null) {
			next = chooseForStall(faulty).map((chosen) -> startAttempt(chosen, REASON_STALLED_DIAGNOSED, faulty))
				.orElse(null);
		}
		if (next == null && isRelayPossible()) {
			next = startRelay(REASON_STALLED_DIAGNOSED, excludedWithAttempts());
		}
		addSuccessor(next);
		if (next == null) {
			logKept(silent, "no-chain-with-room", nowMs);
		}
	}

	private Optional<ReservedTarget> chooseForStall(Set<String> faulty) {
		return this.servers.choose(excludedWithAttempts(), this.delivery.isStarted())
			.or(() -> this.servers.choose(faulty, this.delivery.isStarted()));
	}

	private void addSuccessor(StreamAttempt attempt) {
		if (attempt != null) {
			this.successors.add(attempt);
		}
	}

	private Set<String> excludedWithFaults() {
		Set<String> ids = new HashSet<>(this.excluded);
		this.successors.listWith(this.current).forEach((attempt) -> ids.addAll(attempt.faultyServers()));
		return ids;
	}

	private Set<String> excludedWithAttempts() {
		Set<String> ids = excludedWithFaults();
		this.successors.listWith(this.current).forEach((attempt) -> {
			ids.addAll(attempt.serverIds());
			ids.add(attempt.receiver());
		});
		return ids;
	}

	// In an overload most gaps are long; only those that last are logged.
	private void logKept(StreamAttempt attempt, String reason, long nowMs) {
		long silentMs = attempt.eventGaps().currentGapMs(nowMs);
		if (silentMs >= StreamStallDetector.PROBE_AFTER_MS && attempt.mayLogKeepReason(reason)) {
			this.dependencies.log()
				.event(PART, "kept", "id", this.request.id(), "reason", reason, "server", attempt.receiver(),
						"waitsFor", String.join(",", attempt.faultyServers()), "silentMs", silentMs, "sends",
						this.ledger.sends(), "runs", this.ledger.possibleExecutions(), "maxAttempts",
						this.request.route().maxAttempts());
		}
	}

	private boolean hasSuspectServer(StreamAttempt attempt) {
		GatewayState state = this.dependencies.state();
		return attempt.links()
			.stream()
			.anyMatch((link) -> state.isSuspect(link.fromZone(), link.serverId(), link.serverZone()));
	}

	private void tryOthersForLeaving(long nowMs) {
		if (nowMs < this.leavingCheckAtMs || !mayExecuteConcurrently()) {
			return;
		}
		Optional<String> leaving = this.dependencies.state()
			.findLeavingForAtLeast(this.current.serverIds(), LEAVING_GRACE_MS);
		if (leaving.isPresent()) {
			this.leavingCheckAtMs = nowMs + LEAVING_RETRY_INTERVAL_MS;
			Set<String> excludedServers = new HashSet<>(this.excluded);
			excludedServers.add(leaving.get());
			this.servers.choose(excludedServers, this.delivery.isStarted()).ifPresent((next) -> {
				logAttempt(REASON_LEAVING, "server " + leaving.get() + " is leaving");
				addSuccessor(startAttempt(next, REASON_LEAVING, excludedServers));
			});
		}
	}

	private boolean mayExecuteConcurrently() {
		return this.successors.isEmpty() && sendDenial().isEmpty();
	}

	// Makes a successor the attempt whose events the caller receives.
	private void promoteSuccessor(StreamAttempt successor, String reason) {
		logAttempt("promoted", reason);
		this.excluded.addAll(successor.excluded());
		endCurrent();
		this.successors.remove(successor);
		this.current = successor;
	}

	private void endCurrent() {
		if (this.current != null) {
			this.excluded.addAll(this.current.faultyServers());
			this.current.close();
			this.current = null;
		}
	}

	private StreamAttempt attemptOf(BackendCall call) {
		return (this.current != null && this.current.call() == call) ? this.current : this.successors.find(call);
	}

	private void probeStall(StreamAttempt attempt, long nowMs) {
		attempt.scheduleStallCheck(nowMs + StreamLimits.PROBE_INTERVAL_MS);
		if (attempt.mayLogKeepReason("silent")) {
			this.dependencies.log()
				.event(PART, "silent", "id", this.request.id(), "server", attempt.receiver(), "silentMs",
						attempt.eventGaps().currentGapMs(nowMs));
		}
		if (attempt.target().reportsStalls() && !this.dependencies.permits().isPaused(attempt.receiver())) {
			this.probe.probe(attempt.call(), this.request.id());
		}
	}

	// Sends the request to the best servers; a stream that has begun is resumed there.
	private boolean send(String reason) {
		if (isRelayPreferred()) {
			this.current = startRelay(reason, this.excluded);
		}
		if (this.current == null) {
			this.current = this.servers.choose(this.excluded, this.delivery.isStarted())
				.map((chosen) -> startChosen(chosen, reason))
				.orElse(null);
		}
		if (this.current == null && isRelayPossible()) {
			this.current = startRelay(reason, this.excluded);
		}
		return this.current != null;
	}

	// Another host may reach the service when this one reaches none of its servers.
	private StreamAttempt startChosen(ReservedTarget chosen, String reason) {
		boolean unreachable = chosen.target() instanceof StreamTarget.SingleServer
				&& this.dependencies.state().unreachableServers().contains(chosen.target().receiverId());
		StreamAttempt relayed = (unreachable && isRelayPossible()) ? startRelay(reason, this.excluded) : null;
		if (relayed == null) {
			return startAttempt(chosen, reason, Set.of());
		}
		this.servers.release(chosen);
		return relayed;
	}

	// Returns null, and releases the servers, if the request must not be sent.
	private StreamAttempt startAttempt(ReservedTarget chosen, String reason, Set<String> excludedServers) {
		long nowMs = this.dependencies.nowMs();
		StreamTarget target = chosen.target();
		long remainingMs = this.request.deadlineAtMs() - nowMs;
		ForwardPlan plan = new ForwardPlan(remainingMs, target.receiverId(), this.request.organisation(), target.hops(),
				this.request.rank(), this.delivery.lastEventId());
		Optional<BackendCall> call = send(target.address(), plan);
		if (call.isEmpty()) {
			this.servers.release(chosen);
			return null;
		}
		this.dependencies.metrics().countAttempt(this.request.trafficKind(), reason);
		logSend(chosen, reason, remainingMs);
		FleetView fleet = this.dependencies.state().fleet();
		List<ServiceInstance> registered = target.links(ownZone())
			.stream()
			.flatMap((link) -> fleet.instance(link.serverId()).stream())
			.toList();
		return newAttempt(chosen, registered, call.get(), reason, excludedServers, nowMs);
	}

	// Passes the request on to another host; null if none is left or allowed.
	private StreamAttempt startRelay(String reason, Set<String> excludedIds) {
		Optional<RelayTarget> host = chooseRelay(excludedIds);
		Optional<BackendCall> call = host.flatMap((target) -> relay(target, this.delivery.lastEventId()));
		if (call.isEmpty()) {
			return null;
		}
		this.dependencies.metrics().countAttempt(this.request.trafficKind(), RELAY_PREFIX + reason);
		ReservedTarget reserved = new ReservedTarget(new StreamTarget.OtherHost(host.get()), 0, 0, 0,
				this.dependencies.loads().reserveNothing());
		return newAttempt(reserved, List.of(), call.get(), reason, excludedIds, this.dependencies.nowMs());
	}

	private StreamAttempt newAttempt(ReservedTarget reserved, List<ServiceInstance> registered, BackendCall call,
			String reason, Set<String> excludedIds, long nowMs) {
		StreamStallDetector gaps = new StreamStallDetector(nowMs, this.request.route().targetLatencyMs(),
				this.request.route().gapTargetMs());
		return new StreamAttempt(reserved, ownZone(), registered, call, reason, excludedIds, gaps,
				holdResponse(reserved.target().receiverId()), nowMs);
	}

	private void logSend(ReservedTarget chosen, String reason, long remainingMs) {
		GatewayState state = this.dependencies.state();
		this.dependencies.log()
			.event(PART, "send", "id", this.request.id(), "kind", this.request.trafficKind(), "reason", reason,
					"service", this.request.service().name(), "chain", chosen.target().describe(), "fill",
					Math.round(chosen.utilisation() * 100) / 100.0, "firstEngineRequests", chosen.receiverRequests(),
					"firstEngineSlots", chosen.receiverSlots(), "attempt", this.ledger.sends(), "after",
					this.delivery.lastEventId(), "rank", this.request.rank(), "runs", this.ledger.possibleExecutions(),
					"maxAttempts", this.request.route().maxAttempts(), "remainingMs", remainingMs, "timerLateMs",
					this.dependencies.timerLateness().latestMs(), "configVersion", state.table().version(),
					"confirmedMsAgo", state.confirmationAgeMs(), "peers", this.dependencies.loads().peerCount());
	}

	private void logAttempt(String event, String reason) {
		this.dependencies.log()
			.event(PART, event, "id", this.request.id(), "reason", reason, "delivered", this.delivery.events(), "runs",
					this.ledger.possibleExecutions());
	}

	private String onHeader(Signal.Header header) {
		StreamAttempt attempt = attemptOf(header.call());
		if (attempt == null) {
			return null;
		}
		BackendVerdict verdict = checkResponse(header);
		if (!verdict.belongsToRequest()) {
			return continueAfterFailure(attempt, "foreign", "the response belongs to another request");
		}
		if (verdict.notExecuted()) {
			return onNotExecuted(attempt, header.status(), verdict);
		}
		if (!verdict.hasProofOfOrigin()) {
			return continueAfterFailure(attempt, "unproven",
					"status " + header.status() + " without the server's proof");
		}
		attempt.setHeader(header, this.dependencies.dialect().responseHeaders(header.headers()),
				this.request.route().streams());
		return null;
	}

	private String onNotExecuted(StreamAttempt attempt, int status, BackendVerdict verdict) {
		this.ledger.recordNotExecuted();
		Optional<ServiceInstance> faultyServer = verdict.faultyAddress()
			.flatMap((address) -> this.dependencies.state().fleet().atAddress(address));
		this.excluded.add(faultyServer.map(ServiceInstance::id).orElse(attempt.receiver()));
		faultyServer
			.ifPresent((server) -> this.dependencies.state().suspectRefusing(attempt.callingZone(server.id()), server));
		this.servers.recordRefusal(attempt.target(), attempt.servers(), verdict.faultyAddress(), status);
		return continueAfterFailure(attempt, "not-executed",
				"status " + status + " from " + verdict.faultyAddress().orElse(attempt.call().address()));
	}

	private String ownZone() {
		return this.dependencies.settings().availabilityZone();
	}

	private String onData(Signal.Data data) {
		StreamAttempt attempt = attemptOf(data.call());
		if (attempt == null) {
			return null;
		}
		if (!attempt.isStream()) {
			return onBodyData(attempt, data.bytes());
		}
		attempt.call().requestMore();
		if (!this.delivery.accepts(attempt)) {
			return failNoStream(attempt);
		}
		List<StreamedEvent> events = attempt.addToStream(data.bytes());
		for (StreamedEvent event : events) {
			Optional<String> fault = this.delivery.continuationFault(attempt, event);
			if (fault.isPresent()) {
				this.excluded.add(attempt.receiver());
				return continueAfterFailure(attempt, "not-continued", fault.get());
			}
			attempt.recordReceived(event);
			if (attempt != this.current && !this.delivery.isNew(event)) {
				// A successor that repeats events is still behind the current attempt.
				attempt.recordEvent(this.dependencies.nowMs());
				continue;
			}
			if (!event.hasContent()) {
				deliver(event);
				continue;
			}
			recordBegun(data.call());
			recordAnswers(attempt);
			keepFirstToRespond(attempt);
			deliver(event);
		}
		if (attempt.hasMalformedEvent()) {
			this.excluded.add(attempt.receiver());
			return continueAfterFailure(attempt, "malformed", "the server sent lines that are not an event");
		}
		if (attempt.hasTooLargeEvent() || attempt.isOverBudget()) {
			return continueAfterFailure(attempt, "too-large",
					"an event exceeds " + EventParser.MAX_EVENT_BYTES + " bytes, or the room that the host has");
		}
		if (this.response.isBacklogTooLarge()) {
			this.response.abort();
			logAttempt("caller-too-slow", "the host has no room for what the caller has not read");
			return "broken-off";
		}
		tryOthersForLeaving(this.dependencies.nowMs());
		return null;
	}

	private String onBodyData(StreamAttempt attempt, byte[] bytes) {
		if (attempt.addToBody(bytes) > MAX_BODY_BYTES) {
			return continueAfterFailure(attempt, "too-large", "the response is too large");
		}
		attempt.readOnBody();
		return null;
	}

	private String failNoStream(StreamAttempt attempt) {
		this.excluded.add(attempt.receiver());
		return continueAfterFailure(attempt, "no-stream",
				"status " + attempt.status() + ", content type \"" + attempt.contentType() + "\"");
	}

	// An event proves that all servers of the attempt are working.
	private void recordAnswers(StreamAttempt attempt) {
		long nowMs = this.dependencies.nowMs();
		if (attempt.mayRecordAnswers(nowMs)) {
			attempt.links().forEach((link) -> this.dependencies.state().recordAnswer(link.fromZone(), link.serverId()));
		}
	}

	// Of concurrent attempts, keeps the one that sends the next event. An attempt at a
	// leaving server is kept until its successor has sent its first event.
	private void keepFirstToRespond(StreamAttempt attempt) {
		if (attempt != this.current) {
			promoteSuccessor(attempt, "the successor sent an event first");
			this.successors.closeAll();
		}
		else if (this.successors.closeAllExcept(REASON_LEAVING)) {
			logAttempt("successor-dropped", "the first chain sent an event again");
		}
	}

	private void deliver(StreamedEvent event) {
		this.delivery.deliver(this.current, event, this::holdBacklog);
	}

	private HeldBytes holdBacklog() {
		return holdResponse(this.current.receiver());
	}

	private String onEnd(Signal.End end) {
		StreamAttempt attempt = attemptOf(end.call());
		if (attempt == null) {
			return null;
		}
		if (!attempt.hasHeader()) {
			return continueAfterFailure(attempt, "broken", "the response has no header");
		}
		if (!attempt.isStream()) {
			return onWholeResponse(attempt);
		}
		if (!this.delivery.accepts(attempt)) {
			return failNoStream(attempt);
		}
		if (attempt.hasPartialEvent()) {
			return continueAfterFailure(attempt, "broken", "the stream ended within an event");
		}
		// A continuation without an event does not show that the stream was at its end.
		if (attempt != this.current || (this.delivery.isStarted() && !attempt.hasDelivered())) {
			this.excluded.add(attempt.receiver());
			return continueAfterFailure(attempt, "empty", "the response has no event");
		}
		this.delivery.complete(attempt, this::holdBacklog);
		recordComplete();
		this.dependencies.log()
			.event(PART, "whole", "id", this.request.id(), "firstMs", this.delivery.firstEventMs(), "longestGapMs",
					this.delivery.longestGapMs(), "events", this.delivery.events(), "attempts", this.ledger.sends());
		return ANSWERED;
	}

	// Passes on a response that is no stream of events, unless it is an error and another
	// attempt may succeed. It cannot follow events that the caller has.
	private String onWholeResponse(StreamAttempt attempt) {
		boolean success = attempt.status() < BAD_REQUEST;
		if (success && this.delivery.isStarted()) {
			return failNoStream(attempt);
		}
		boolean othersMaySucceed = !this.successors.isEmpty()
				|| (attempt.status() >= SERVER_ERROR && sendDenial().isEmpty());
		if (this.delivery.isStarted() || (!success && othersMaySucceed)) {
			this.excluded.add(attempt.receiver());
			return continueAfterFailure(attempt, "server-error", "status " + attempt.status());
		}
		this.response.deliver(attempt.status(), attempt.headers(), attempt.takeBody());
		if (!success) {
			return "server-error";
		}
		recordBegun(attempt.call());
		recordAnswers(attempt);
		recordComplete();
		return ANSWERED;
	}

	private void recordComplete() {
		this.search.recordComplete();
		this.dependencies.metrics()
			.recordCompleteResponse(this.request.trafficKind(), this.dependencies.nowMs() - this.request.arrivedAtMs());
	}

	private String onFailed(Signal.Failed failed) {
		StreamAttempt attempt = attemptOf(failed.call());
		if (attempt == null) {
			return null;
		}
		this.excluded.add(attempt.receiver());
		if (failed.requestNotSent()) {
			this.ledger.recordNotExecuted();
			this.dependencies.state()
				.fleet()
				.instance(attempt.receiver())
				.ifPresent((server) -> this.dependencies.state().suspect(ownZone(), server));
		}
		return continueAfterFailure(attempt, (failed.requestNotSent()) ? "unreachable" : "broken", failed.reason());
	}

	private String onWriting(Signal.Writing writing) {
		StreamAttempt attempt = attemptOf(writing.call());
		if (attempt != null) {
			attempt.recordWriting(this.dependencies.nowMs());
		}
		return null;
	}

	// The deadline or the server withholds a call while the request is in progress.
	private String onWithheld(Signal.Withheld withheld) {
		StreamAttempt attempt = attemptOf(withheld.call());
		if (attempt == null) {
			return null;
		}
		this.ledger.recordNotExecuted();
		if (this.ledger.mayWrite(this.dependencies.nowMs())) {
			this.excluded.add(attempt.receiver());
			return continueAfterFailure(attempt, "withheld", "the server accepts no more requests");
		}
		logAttempt("withheld", "the deadline passed before the first byte");
		return onTimeout();
	}

	// A chain may wait for an engine that goes on later, so the attempt is kept.
	private String onDiagnosis(Signal.StallDiagnosis diagnosis) {
		StreamAttempt attempt = attemptOf(diagnosis.call());
		long nowMs = this.dependencies.nowMs();
		if (attempt == null || attempt.eventGaps().currentGapMs(nowMs) < StreamStallDetector.PROBE_AFTER_MS) {
			return null;
		}
		// The report may be about another attempt with the same first engine.
		Optional<ServiceInstance> faulty = attempt.servers()
			.stream()
			.filter((engine) -> engine.address().equals(diagnosis.faultyAddress()))
			.findFirst()
			.or(() -> attempt.servers().stream().filter(this::hasRestarted).findFirst());
		if (faulty.isEmpty()) {
			logKept(attempt, "no-server-named", nowMs);
			return null;
		}
		String faultyId = faulty.get().id();
		if (!hasRestarted(faulty.get())) {
			this.dependencies.state().suspect(attempt.callingZone(faultyId), faulty.get());
		}
		attempt.recordFault(faultyId, nowMs);
		logAttempt("stalled", "the chain waits for " + faulty.get().address());
		scheduleNextSearch(attempt, tryOthers(attempt, nowMs), nowMs);
		return null;
	}

	// An engine that has started again knows nothing of the stream.
	private boolean hasRestarted(ServiceInstance engine) {
		FleetView fleet = this.dependencies.state().fleet();
		return fleet.atAddress(engine.address()).filter((now) -> now.startedAtMs() > engine.startedAtMs()).isPresent();
	}

	// Ends a failed attempt and continues with a concurrent attempt or other servers.
	// Abandons the request if neither is possible.
	private String continueAfterFailure(StreamAttempt failed, String event, String reason) {
		logAttempt(event, reason);
		if (failed != this.current) {
			onFailedSuccessor(failed);
			return null;
		}
		this.search.recordFailure(reason);
		if (!this.successors.isEmpty()) {
			promoteSuccessor(this.successors.oldest(), reason);
			return null;
		}
		endCurrent();
		return this.search.beginAgain(event, reason,
				(this.delivery.isStarted()) ? StreamLimits.MAX_RESUME_SEARCH_MS : 0);
	}

	private void onFailedSuccessor(StreamAttempt failed) {
		failed.close();
		this.successors.remove(failed);
		StreamAttempt silent = this.successors.newestOr(this.current);
		silent.recordFailedSuccessor();
		if (SilencePolicy.triesAgainAtOnce(silent.isFaultKnown(), silent.failedSuccessors())) {
			tryOthers(silent, this.dependencies.nowMs());
		}
	}

	@Override
	protected boolean hasSpareServers() {
		return this.servers.hasSpareReceiver();
	}

	private String abandon(String reason) {
		if (this.delivery.isStarted()) {
			this.response.abort();
			return "broken-off";
		}
		if (this.ledger.possibleExecutions() > 0) {
			this.response.fail(ProblemType.BACKEND_FAILED, "The stream was lost: " + reason, this.request.rank());
			return "answer-lost";
		}
		this.servers.logShortage(this.excluded);
		return this.search.refuse((this.ledger.sends() == 0) ? ProblemType.OVERLOADED : ProblemType.NO_CAPACITY, reason,
				comeBackAfterMs(this.servers.receivers()));
	}

	private String onTimeout() {
		if (this.delivery.isStarted()) {
			this.response.abort();
			return "broken-off";
		}
		suspectSilentServers();
		this.response.fail(ProblemType.TIMED_OUT, "No answer within the time limit", this.request.rank());
		return "timed-out";
	}

	// No report tells whether a server of a plain service still works.
	private void suspectSilentServers() {
		if (this.current != null) {
			this.successors.listWith(this.current)
				.stream()
				.filter((attempt) -> attempt.target() instanceof StreamTarget.SingleServer)
				.forEach((attempt) -> attempt.servers()
					.forEach((server) -> this.dependencies.state().suspect(ownZone(), server)));
		}
	}

	/**
	 * Connects the search with the attempts of this stream.
	 */
	private final class SearchedStream implements ServerSearch.Stream {

		@Override
		public Optional<RequestAdmission> recordArrival(double work) {
			return StreamExecution.this.recordArrival(work, WAIT_FRACTION_OF_TARGET);
		}

		@Override
		public boolean mayWait() {
			return StreamExecution.this.mayWait()
					&& StreamExecution.this.servers.existWithoutLoad(StreamExecution.this.excluded);
		}

		@Override
		public void run(Supplier<String> step) {
			runUnlessEnded(step);
		}

		@Override
		public String recheck() {
			return recheckAdmission();
		}

		@Override
		public Optional<SendDenial> denial() {
			return sendDenial();
		}

		@Override
		public void logDenial(SendDenial denial) {
			StreamExecution.this.logDenial(denial);
		}

		@Override
		public boolean send(String reason) {
			return StreamExecution.this.send(reason);
		}

		@Override
		public String abandon(String reason) {
			return StreamExecution.this.abandon(reason);
		}

	}

}
