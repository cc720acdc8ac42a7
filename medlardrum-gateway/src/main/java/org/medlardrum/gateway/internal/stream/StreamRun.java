package org.medlardrum.gateway.internal.stream;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.medlardrum.decisions.pool.ChainRequest;
import org.medlardrum.decisions.pool.ChainZones;
import org.medlardrum.decisions.pool.StreamLimits;
import org.medlardrum.decisions.pool.StreamStallDetector;
import org.medlardrum.decisions.routing.RetryAfter;
import org.medlardrum.gateway.BackendVerdict;
import org.medlardrum.gateway.CallerAttributes;
import org.medlardrum.gateway.ForwardPlan;
import org.medlardrum.gateway.internal.call.BackendCall;
import org.medlardrum.gateway.internal.call.BackendRequest;
import org.medlardrum.gateway.internal.call.Signal;
import org.medlardrum.gateway.internal.request.CallerResponse;
import org.medlardrum.gateway.internal.request.GatewayRequest;
import org.medlardrum.gateway.internal.request.HeaderList;
import org.medlardrum.gateway.internal.request.RequestRun;
import org.medlardrum.gateway.internal.request.RequestServices;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.protocol.problem.ProblemType;
import org.medlardrum.state.routing.ModelPool;
import org.medlardrum.state.routing.ServiceInstance;

/**
 * Serves a stream from chains of engines. Whole events are passed on as they arrive. When
 * a chain breaks, the stream goes on at another chain after the last event that the
 * caller has. A chain that may still go on is kept until the other one answers: in an
 * overload the other one may refuse.
 */
public final class StreamRun extends RequestRun {

	/**
	 * Time between an engine's notice and the move of its streams. Engines go on serving
	 * for at least 2 s after the notice; most streams end before.
	 */
	private static final long LEAVING_GRACE_MS = 1_400;

	/** Time between two looks for a chain for a stream whose engine leaves. */
	private static final long LEAVING_LOOK_AGAIN_MS = 200;

	/** Largest body of a response that is no stream, in bytes. */
	private static final int MAX_BODY_BYTES = 1024 * 1024;

	private static final int SERVER_ERROR = 500;

	private static final String PART = "stream";

	private static final String SILENT_MOVED = "silent-moved";

	private static final String LEAVING = "leaving";

	private final ChainChooser chooser;

	private final SilenceProbe probe;

	private final Set<String> excluded = new HashSet<>();

	/** The attempt that the caller hears, {@code null} while another chain is sought. */
	private ChainAttempt current;

	/** Attempt at another chain beside the current one, {@code null} for none. */
	private ChainAttempt successor;

	private boolean started;

	private boolean ran;

	private long lastEventId;

	private int eventsDelivered;

	private long firstEventMs;

	private long deliveredAtMs;

	private long longestGapMs;

	private int sends;

	private int runs;

	private String lastFailure = "none";

	/** Why another chain is sought, {@code null} while an attempt runs. */
	private String searchEvent;

	private long searchAtMs;

	private long searchUntilMs;

	private long leavingLookAtMs = Long.MIN_VALUE;

	/**
	 * Creates a run.
	 * @param services what all requests share
	 * @param request the request
	 * @param response the response
	 * @param outcomeListener receives the outcome for logs and metrics
	 */
	public StreamRun(RequestServices services, GatewayRequest request, CallerResponse response,
			Consumer<String> outcomeListener) {
		super(services, request, response, outcomeListener);
		this.chooser = new ChainChooser(services);
		this.probe = new SilenceProbe(services, this::on);
		this.lastEventId = request.attributes().lastEventId();
	}

	@Override
	protected String begin() {
		this.services.retries().onFirstAttempt(this.request.service().name(), this.services.nowMs());
		return (send("first")) ? null : giveUp("no chain has room");
	}

	@Override
	protected String handle(Signal signal) {
		return switch (signal) {
			case Signal.CallerLeft left -> "caller-left";
			case Signal.Header header -> onHeader(header);
			case Signal.Data data -> onData(data);
			case Signal.End end -> onEnd(end);
			case Signal.Failed failed -> onFailed(failed);
			case Signal.Diagnosis diagnosis -> onDiagnosis(diagnosis);
		};
	}

	@Override
	protected long dueAtMs() {
		long dueMs = this.request.endMs();
		if (this.searchEvent != null) {
			dueMs = Math.min(dueMs, this.searchAtMs);
		}
		if (this.current != null) {
			dueMs = Math.min(dueMs, this.current.askAtMs());
		}
		if (this.successor != null) {
			dueMs = Math.min(dueMs, this.successor.askAtMs());
		}
		return dueMs;
	}

	@Override
	protected String onTimer(long nowMs) {
		if (nowMs >= this.request.endMs()) {
			return timedOut();
		}
		if (this.searchEvent != null) {
			return search(nowMs);
		}
		if (this.successor != null && nowMs >= this.successor.askAtMs()) {
			onSilentSuccessor(nowMs);
		}
		if (nowMs >= this.current.askAtMs()) {
			onSilence(nowMs);
		}
		moveFromLeaving(nowMs);
		return null;
	}

	@Override
	protected void close() {
		dropSuccessor();
		endCurrent();
	}

	private void onSilence(long nowMs) {
		StreamStallDetector pauses = this.current.pauses();
		boolean unusual = pauses.currentGapMs(nowMs) >= pauses.stallThresholdMs();
		if (unusual || hasSuspect(this.current.chain())) {
			moveWhenSilent(nowMs);
		}
		if (!unusual) {
			this.current.askAt(nowMs + pauses.nextCheckMs(pauses.currentGapMs(nowMs)));
			return;
		}
		long untilAskMs = StreamStallDetector.PROBE_AFTER_MS - pauses.currentGapMs(nowMs);
		if (untilAskMs > 0) {
			this.current.askAt(nowMs + untilAskMs);
			return;
		}
		ask(nowMs);
	}

	// A chain that an engine leaves still delivers, so its successor may take its time.
	private void onSilentSuccessor(long nowMs) {
		if (this.successor.reason().equals(LEAVING)) {
			this.successor.askAt(nowMs + StreamLimits.PROBE_INTERVAL_MS);
		}
		else {
			promote("no chain answers");
		}
	}

	// Tries a chain without any of the present engines beside the silent one, in time
	// for the stream's target. Which engine is at fault is known only later.
	private void moveWhenSilent(long nowMs) {
		StreamStallDetector pauses = this.current.pauses();
		boolean late = pauses.hasBegun() && pauses.currentGapMs(nowMs) >= StreamStallDetector.PROBE_AFTER_MS;
		if (late || !mayRunBeside()) {
			return;
		}
		Set<String> others = new HashSet<>(this.excluded);
		others.addAll(this.current.chain().ids());
		ChainRequest wanted = chainRequest().preferring(this.chooser.drawZone(this.request.service(), others));
		if (this.chooser.hasMuchRoom(this.request.service(), wanted, others)) {
			addSuccessor(SILENT_MOVED, "no event for " + pauses.currentGapMs(nowMs) + " ms", others, wanted);
		}
	}

	private boolean hasSuspect(ChainChooser.ReservedChain chain) {
		GatewayState state = this.services.state();
		return ChainZones.hasExcluded(chain.hops(), ownZone(),
				(before, server) -> state.isSuspect(before, server.id(), server.availabilityZone()));
	}

	private void moveFromLeaving(long nowMs) {
		if (nowMs < this.leavingLookAtMs || !mayRunBeside()) {
			return;
		}
		Optional<String> leaving = this.services.state()
			.leavingLongerThan(this.current.chain().ids(), LEAVING_GRACE_MS);
		if (leaving.isPresent()) {
			this.leavingLookAtMs = nowMs + LEAVING_LOOK_AGAIN_MS;
			Set<String> others = new HashSet<>(this.excluded);
			others.add(leaving.get());
			addSuccessor(LEAVING, "server " + leaving.get() + " leaves", others, chainRequest());
		}
	}

	private boolean mayRunBeside() {
		return this.successor == null && this.runs < this.request.route().maxAttempts()
				&& this.request.route().idempotent();
	}

	private boolean mayRunAgain() {
		return this.runs < this.request.route().maxAttempts() && (this.request.route().idempotent() || !this.ran);
	}

	private void addSuccessor(String event, String reason, Set<String> avoided, ChainRequest wanted) {
		acquire(avoided, wanted).ifPresent((next) -> {
			logAttempt(event, reason);
			this.successor = attempt(next, event, avoided);
		});
	}

	// The successor becomes the attempt that the caller hears.
	private void promote(String reason) {
		logAttempt("promoted", reason);
		this.excluded.addAll(this.successor.avoided());
		endCurrent();
		this.current = this.successor;
		this.successor = null;
	}

	private void dropSuccessor() {
		if (this.successor != null) {
			this.successor.close();
			this.successor = null;
		}
	}

	private void endCurrent() {
		if (this.current != null) {
			this.current.close();
			this.current = null;
		}
	}

	private ChainAttempt attemptOf(BackendCall call) {
		if (this.current != null && this.current.call() == call) {
			return this.current;
		}
		return (this.successor != null && this.successor.call() == call) ? this.successor : null;
	}

	private void ask(long nowMs) {
		this.current.askAt(nowMs + StreamLimits.PROBE_INTERVAL_MS);
		this.services.log()
			.event(PART, "silent", "id", this.request.id(), "server", this.current.firstEngine(), "silentMs",
					this.current.pauses().currentGapMs(nowMs));
		this.probe.ask(this.current.call(), this.request.id());
	}

	// Sends the request, or the rest of it, to the best chain.
	private boolean send(String reason) {
		Optional<ChainChooser.ReservedChain> next = acquire(this.excluded, chainRequest());
		next.ifPresent((chosen) -> this.current = attempt(chosen, reason, Set.of()));
		return next.isPresent();
	}

	// Reserves a chain and takes a repeat from the budget.
	private Optional<ChainChooser.ReservedChain> acquire(Set<String> avoided, ChainRequest wanted) {
		if (this.sends >= StreamLimits.MAX_SENDS) {
			return Optional.empty();
		}
		Optional<ChainChooser.ReservedChain> choice = this.chooser.choose(this.request.service(), wanted, avoided,
				this.started);
		if (choice.isPresent() && this.sends > 0 && !tryRepeat(PART)) {
			choice.get().reservation().close();
			this.searchUntilMs = this.services.nowMs();
			return Optional.empty();
		}
		return choice;
	}

	private ChainAttempt attempt(ChainChooser.ReservedChain chosen, String reason, Set<String> avoided) {
		long nowMs = this.services.nowMs();
		this.sends++;
		this.runs++;
		String address = chosen.hops().getFirst().server().address();
		long remainingMs = this.request.endMs() - nowMs;
		ForwardPlan plan = new ForwardPlan(remainingMs, chosen.ids().getFirst(), this.request.organisation(),
				chosen.hops(), this.request.rank(), this.lastEventId);
		BackendCall call = BackendCall.send(this.services.clients(),
				new BackendRequest(address, this.request.method(), this.request.target(),
						this.services.dialect().forwardHeaders(this.request.headers(), plan), this.request.body()),
				this::on);
		this.services.metrics().attempt(this.request.kind(), reason);
		logSend(chosen, reason, remainingMs);
		StreamStallDetector pauses = new StreamStallDetector(nowMs, this.request.route().targetLatencyMs(),
				this.request.route().gapTargetMs());
		return new ChainAttempt(chosen, call, reason, avoided, pauses, nowMs);
	}

	private void logSend(ChainChooser.ReservedChain chosen, String reason, long remainingMs) {
		GatewayState state = this.services.state();
		this.services.log()
			.event(PART, "send", "id", this.request.id(), "reason", reason, "chain", chosen.describe(), "fill",
					Math.round(chosen.fill() * 100) / 100.0, "attempt", this.sends, "after", this.lastEventId, "rank",
					this.request.rank(), "remainingMs", remainingMs, "configVersion", state.table().version(),
					"confirmedMsAgo", state.confirmationAgeMs(), "peers", this.services.loads().peerCount());
	}

	private void logAttempt(String event, String reason) {
		this.services.log()
			.event(PART, event, "id", this.request.id(), "reason", reason, "delivered", this.eventsDelivered, "runs",
					this.runs);
	}

	private ChainRequest chainRequest() {
		ModelPool pool = this.request.service().pool().orElseThrow();
		CallerAttributes attributes = this.request.attributes();
		int answer = pool.meanGeneratedTokens();
		if (attributes.estimatedGeneratedTokens() > 0) {
			answer = attributes.estimatedGeneratedTokens();
		}
		if (attributes.maxGeneratedTokens() > 0) {
			answer = Math.min(answer, attributes.maxGeneratedTokens());
		}
		int prompt = (attributes.promptTokens() > 0) ? attributes.promptTokens() : pool.meanPromptTokens();
		return new ChainRequest(prompt, Math.max(1, answer), this.request.rank(),
				this.services.settings().availabilityZone());
	}

	private String onHeader(Signal.Header header) {
		ChainAttempt attempt = attemptOf(header.call());
		if (attempt == null) {
			return null;
		}
		BackendVerdict verdict = this.services.dialect()
			.checkResponse(this.request.id(), header.status(), HeaderList.lookup(header.headers()));
		if (!verdict.belongsToRequest()) {
			return goOn(attempt, "foreign", "the response belongs to another request");
		}
		if (verdict.notExecuted()) {
			return onNotExecuted(attempt, header.status(), verdict);
		}
		if (!verdict.hasProofOfOrigin()) {
			return goOn(attempt, "unproven", "status " + header.status() + " without the server's proof");
		}
		attempt.header(header, this.services.dialect().responseHeaders(header.headers()));
		return null;
	}

	private String onNotExecuted(ChainAttempt attempt, int refusedStatus, BackendVerdict verdict) {
		this.runs--;
		Optional<ServiceInstance> faulty = verdict.faultyAddress()
			.flatMap((address) -> this.services.state().fleet().atAddress(address));
		this.excluded.add(faulty.map(ServiceInstance::id).orElse(attempt.firstEngine()));
		faulty.ifPresent((server) -> this.services.state().refused(attempt.zoneBefore(server.id(), ownZone()), server));
		return goOn(attempt, "not-executed",
				"status " + refusedStatus + " from " + verdict.faultyAddress().orElse(attempt.call().address()));
	}

	private String ownZone() {
		return this.services.settings().availabilityZone();
	}

	private String onData(Signal.Data data) {
		ChainAttempt attempt = attemptOf(data.call());
		if (attempt == null) {
			return null;
		}
		attempt.call().consumed();
		if (!attempt.isStream()) {
			return (attempt.addToBody(data.bytes()) > MAX_BODY_BYTES)
					? goOn(attempt, "too-large", "the response is too large") : null;
		}
		List<StreamedEvent> events = attempt.addToStream(data.bytes());
		if (!events.isEmpty()) {
			this.ran = true;
			decideBetween(attempt);
		}
		for (StreamedEvent event : events) {
			deliver(event);
		}
		moveFromLeaving(this.services.nowMs());
		return null;
	}

	// Of two attempts, the one with the first event goes on. A chain with an engine that
	// leaves is heard until the other one has begun.
	private void decideBetween(ChainAttempt attempt) {
		if (attempt == this.successor) {
			promote("successor answers");
		}
		else if (this.successor != null && this.successor.reason().equals(SILENT_MOVED)) {
			logAttempt("successor-dropped", "the first chain goes on");
			dropSuccessor();
		}
	}

	private void deliver(StreamedEvent event) {
		long nowMs = this.services.nowMs();
		this.current.event(nowMs);
		if (event.id() != StreamedEvent.NO_ID) {
			if (event.id() <= this.lastEventId) {
				return;
			}
			this.lastEventId = event.id();
		}
		if (!this.started) {
			this.started = true;
			this.response.startStream(this.current.status(), this.current.headers());
			this.firstEventMs = nowMs - this.request.arrivedMs();
			this.services.metrics().firstByte(this.request.kind(), this.firstEventMs);
		}
		else {
			this.longestGapMs = Math.max(this.longestGapMs, nowMs - this.deliveredAtMs);
		}
		this.deliveredAtMs = nowMs;
		this.response.write(event.bytes());
		this.eventsDelivered++;
	}

	private String onEnd(Signal.End end) {
		ChainAttempt attempt = attemptOf(end.call());
		if (attempt == null) {
			return null;
		}
		if (!attempt.hasHeader()) {
			return goOn(attempt, "broken", "the response has no header");
		}
		if (!attempt.isStream()) {
			return onServerFailure(attempt);
		}
		if (attempt.hasPartialEvent()) {
			return goOn(attempt, "broken", "the stream ended within an event");
		}
		if (!this.started) {
			this.response.startStream(attempt.status(), attempt.headers());
		}
		this.response.finish();
		this.services.log()
			.event(PART, "whole", "id", this.request.id(), "firstMs", this.firstEventMs, "longestGapMs",
					this.longestGapMs, "events", this.eventsDelivered, "attempts", this.sends);
		this.services.metrics().whole(this.request.kind(), this.services.nowMs() - this.request.arrivedMs());
		return "answered";
	}

	private String onServerFailure(ChainAttempt attempt) {
		this.ran = true;
		if (this.started || this.successor != null || (attempt.status() >= SERVER_ERROR && mayRunAgain())) {
			this.excluded.add(attempt.firstEngine());
			return goOn(attempt, "server-error", "status " + attempt.status());
		}
		this.response.deliver(attempt.status(), attempt.headers(), attempt.body());
		return "server-error";
	}

	private String onFailed(Signal.Failed failed) {
		ChainAttempt attempt = attemptOf(failed.call());
		if (attempt == null) {
			return null;
		}
		this.excluded.add(attempt.firstEngine());
		if (failed.notSent()) {
			this.runs--;
			this.services.state()
				.fleet()
				.instance(attempt.firstEngine())
				.ifPresent((server) -> this.services.state().suspect(ownZone(), server));
		}
		else {
			this.ran = true;
		}
		return goOn(attempt, (failed.notSent()) ? "unreachable" : "broken", failed.reason());
	}

	private String onDiagnosis(Signal.Diagnosis diagnosis) {
		ChainAttempt attempt = attemptOf(diagnosis.call());
		if (attempt == null || diagnosis.faultyAddress().isEmpty()
				|| attempt.pauses().currentGapMs(this.services.nowMs()) < StreamStallDetector.PROBE_AFTER_MS) {
			return null;
		}
		this.services.state().fleet().atAddress(diagnosis.faultyAddress()).ifPresent((server) -> {
			this.excluded.add(server.id());
			this.services.state().suspect(attempt.zoneBefore(server.id(), ownZone()), server);
		});
		this.ran = true;
		return goOn(attempt, "stalled", "the chain waits for " + diagnosis.faultyAddress());
	}

	// Ends an attempt and goes on at the other one or at another chain, or gives up.
	private String goOn(ChainAttempt failed, String event, String reason) {
		logAttempt(event, reason);
		if (failed == this.successor) {
			dropSuccessor();
			return null;
		}
		this.lastFailure = reason;
		if (this.successor != null) {
			promote(reason);
			return null;
		}
		boolean gone = isGone(failed);
		endCurrent();
		if (this.runs > 0 && !mayRunAgain() && !gone) {
			return giveUp(reason);
		}
		long nowMs = this.services.nowMs();
		this.searchEvent = event;
		this.searchUntilMs = nowMs + ((this.started) ? StreamLimits.MAX_RESUME_SEARCH_MS : 0);
		return search(nowMs);
	}

	private String search(long nowMs) {
		if (send(this.searchEvent)) {
			this.searchEvent = null;
			return null;
		}
		this.searchAtMs = nowMs + StreamLimits.SEARCH_RETRY_INTERVAL_MS;
		return (nowMs >= this.searchUntilMs) ? giveUp(this.lastFailure) : null;
	}

	// An engine that has ended does not count towards the attempts of the route.
	private boolean isGone(ChainAttempt attempt) {
		String first = attempt.firstEngine();
		return (this.request.route().idempotent() || !this.ran)
				&& (this.services.state().fleet().instance(first).isEmpty() || this.services.state()
					.isSuspect(ownZone(), first, attempt.chain().hops().getFirst().server().availabilityZone()));
	}

	private String giveUp(String reason) {
		if (this.started) {
			this.response.abort();
			return "broken-off";
		}
		if (this.ran) {
			this.response.fail(ProblemType.BACKEND_FAILED, "The stream was lost: " + reason, this.request.rank());
			return "answer-lost";
		}
		long retryAfterMs = RetryAfter.overloadedMs(this.request.rank(), this.request.endMs() - this.services.nowMs(),
				this.services.random());
		this.services.log()
			.event(PART, "refuse", "id", this.request.id(), "reason", reason, "lastFailure", this.lastFailure, "rank",
					this.request.rank(), "retryAfterMs", retryAfterMs, "peers", this.services.loads().peerCount());
		this.response.refuse((this.sends == 0) ? ProblemType.OVERLOADED : ProblemType.NO_CAPACITY, reason,
				this.request.rank(), retryAfterMs);
		return "refused";
	}

	private String timedOut() {
		if (this.started) {
			this.response.abort();
			return "broken-off";
		}
		this.response.fail(ProblemType.TIMED_OUT, "No answer within the time limit", this.request.rank());
		return "timed-out";
	}

}
