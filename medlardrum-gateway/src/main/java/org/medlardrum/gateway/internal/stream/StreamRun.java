package org.medlardrum.gateway.internal.stream;

import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.medlardrum.decisions.pool.ChainHop;
import org.medlardrum.decisions.pool.ChainRequest;
import org.medlardrum.decisions.pool.StreamPauses;
import org.medlardrum.decisions.routing.ReturnTime;
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
 * a chain breaks, stalls or loses an engine that leaves, the stream goes on at another
 * chain after the last event that the caller has.
 */
public final class StreamRun extends RequestRun {

	/** Time between two questions during one silence; reports lag 200 ms. */
	private static final long ASK_AGAIN_MS = 300;

	/**
	 * Time between an engine's notice and the move of its streams. Engines go on serving
	 * for at least 2 s after the notice; most streams end before.
	 */
	private static final long LEAVING_GRACE_MS = 1_400;

	/** Time between two looks for a chain for a stream whose engine leaves. */
	private static final long LEAVING_LOOK_AGAIN_MS = 200;

	/** Time between two looks for a chain when a stream that has begun finds none. */
	private static final long LOOK_AGAIN_MS = 60;

	/**
	 * Longest search for a chain to resume; callers abandon a stream after 2 s of
	 * silence.
	 */
	private static final long RESUME_SEARCH_MS = 900;

	/** Attempts of one request, with those that did not run. */
	private static final int MAX_SENDS = 6;

	/** Largest body of a response that is no stream, in bytes. */
	private static final int MAX_BODY_BYTES = 1024 * 1024;

	private static final int OK = 200;

	private static final int MULTIPLE_CHOICES = 300;

	private static final int SERVER_ERROR = 500;

	private static final String PART = "stream";

	private final RequestServices services;

	private final GatewayRequest request;

	private final CallerResponse response;

	private final ChainChooser chooser;

	private final SilenceProbe probe;

	private final Set<String> excluded = new HashSet<>();

	private ChainChooser.ReservedChain chain;

	private BackendCall call;

	private EventParser parser = new EventParser();

	private ByteArrayOutputStream plainBody;

	private int status;

	private List<String> headers = List.of();

	private boolean headerSeen;

	private boolean started;

	private boolean ran;

	private long lastEventId;

	private int eventsDelivered;

	private StreamPauses pauses;

	/** Whether this silence has led to a look for another chain. */
	private boolean moved;

	private long firstEventMs;

	private long deliveredAtMs;

	private long longestGapMs;

	private int sends;

	private int runs;

	private long askAtMs;

	private String lastFailure = "none";

	/** Why another chain is wanted, {@code null} while an attempt runs. */
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
		super(services, outcomeListener);
		this.services = services;
		this.request = request;
		this.response = response;
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
			case Signal.Header header -> (header.call() == this.call) ? onHeader(header) : null;
			case Signal.Data data -> (data.call() == this.call) ? onData(data.bytes()) : null;
			case Signal.End end -> (end.call() == this.call) ? onEnd() : null;
			case Signal.Failed failed -> (failed.call() == this.call) ? onFailed(failed) : null;
			case Signal.Diagnosis diagnosis -> (diagnosis.call() == this.call) ? onDiagnosis(diagnosis) : null;
		};
	}

	@Override
	protected long dueAtMs() {
		return Math.min(this.request.endMs(), (this.searchEvent != null) ? this.searchAtMs : this.askAtMs);
	}

	@Override
	protected String onTimer(long nowMs) {
		if (nowMs >= this.request.endMs()) {
			return timedOut();
		}
		if (this.searchEvent != null) {
			return search(nowMs);
		}
		if (nowMs < this.askAtMs) {
			moveFromLeaving();
			return null;
		}
		onSilence(nowMs);
		return null;
	}

	@Override
	protected String requestId() {
		return this.request.id();
	}

	@Override
	protected void abandon() {
		this.response.abandon(this.request.rank());
	}

	@Override
	protected void close() {
		endAttempt();
	}

	private void onSilence(long nowMs) {
		StreamPauses before = this.pauses;
		moveWhenSilent(nowMs);
		if (this.pauses != before) {
			return;
		}
		long untilAskMs = StreamPauses.ASK_AFTER_MS - this.pauses.silentMs(nowMs);
		if (untilAskMs > 0) {
			this.askAtMs = nowMs + untilAskMs;
			return;
		}
		ask(nowMs);
		moveFromLeaving();
	}

	// Moves a silent stream to a chain without any of its present engines, in time for
	// its target. Which engine is at fault is known only later.
	private void moveWhenSilent(long nowMs) {
		boolean late = this.pauses.hasBegun() && this.pauses.silentMs(nowMs) >= StreamPauses.ASK_AFTER_MS;
		if (this.moved || late || !mayRunAgain()) {
			return;
		}
		this.moved = true;
		Set<String> others = new HashSet<>(this.excluded);
		others.addAll(this.chain.ids());
		if (this.chooser.hasMuchRoom(this.request.service(), chainRequest(), others)) {
			move("silent-moved", "no event for " + this.pauses.silentMs(nowMs) + " ms", others);
		}
	}

	// Moves a stream whose chain may still serve it: only to a chain that is reserved
	// before.
	private void move(String event, String reason, Set<String> avoided) {
		Optional<ChainChooser.ReservedChain> next = acquire(avoided);
		if (next.isPresent()) {
			this.services.log()
				.event(PART, event, "id", this.request.id(), "reason", reason, "delivered", this.eventsDelivered,
						"runs", this.runs);
			this.excluded.addAll(avoided);
			endAttempt();
			begin(next.get(), event);
		}
	}

	private void ask(long nowMs) {
		this.askAtMs = nowMs + ASK_AGAIN_MS;
		this.services.log()
			.event(PART, "silent", "id", this.request.id(), "server", this.chain.hops().getFirst().server().id(),
					"silentMs", this.pauses.silentMs(nowMs));
		this.probe.ask(this.call, this.request.id());
	}

	private void moveFromLeaving() {
		long nowMs = this.services.nowMs();
		if (nowMs < this.leavingLookAtMs || !mayRunAgain()) {
			return;
		}
		Optional<String> leaving = this.services.state().leavingLongerThan(this.chain.ids(), LEAVING_GRACE_MS);
		if (leaving.isPresent()) {
			this.leavingLookAtMs = nowMs + LEAVING_LOOK_AGAIN_MS;
			Set<String> others = new HashSet<>(this.excluded);
			others.add(leaving.get());
			move("leaving", "server " + leaving.get() + " leaves", others);
		}
	}

	private boolean mayRunAgain() {
		return this.runs < this.request.route().maxAttempts() && (this.request.route().idempotent() || !this.ran);
	}

	// Sends the request, or the rest of it, to the best chain.
	private boolean send(String reason) {
		Optional<ChainChooser.ReservedChain> next = acquire(this.excluded);
		next.ifPresent((chosen) -> begin(chosen, reason));
		return next.isPresent();
	}

	// Reserves a chain and takes a repeat from the budget.
	private Optional<ChainChooser.ReservedChain> acquire(Set<String> avoided) {
		if (this.sends >= MAX_SENDS) {
			return Optional.empty();
		}
		String service = this.request.service().name();
		Optional<ChainChooser.ReservedChain> choice = this.chooser.choose(this.request.service(), chainRequest(),
				avoided, this.started);
		if (choice.isPresent() && this.sends > 0
				&& !this.services.retries().tryRepeat(service, this.services.nowMs())) {
			choice.get().reservation().close();
			this.searchUntilMs = this.services.nowMs();
			this.services.log().event(PART, "budget-used", "id", this.request.id(), "service", service);
			return Optional.empty();
		}
		return choice;
	}

	private void begin(ChainChooser.ReservedChain chosen, String reason) {
		long nowMs = this.services.nowMs();
		this.chain = chosen;
		this.sends++;
		this.runs++;
		this.parser = new EventParser();
		this.plainBody = null;
		this.headerSeen = false;
		this.pauses = new StreamPauses(nowMs, this.request.route().targetLatencyMs(),
				this.request.route().gapTargetMs());
		this.moved = false;
		this.askAtMs = nowMs + this.pauses.unusualMs();
		String address = this.chain.hops().getFirst().server().address();
		long remainingMs = this.request.endMs() - nowMs;
		ForwardPlan plan = new ForwardPlan(remainingMs, this.chain.ids().getFirst(), this.request.organisation(),
				this.chain.hops(), this.request.rank(), this.lastEventId);
		this.call = BackendCall.send(this.services.clients(),
				new BackendRequest(address, this.request.method(), this.request.target(),
						this.services.dialect().forwardHeaders(this.request.headers(), plan), this.request.body()),
				this::on);
		this.services.metrics().attempt(this.request.kind(), reason);
		logSend(reason, remainingMs);
	}

	private void logSend(String reason, long remainingMs) {
		GatewayState state = this.services.state();
		this.services.log()
			.event(PART, "send", "id", this.request.id(), "reason", reason, "chain", this.chain.describe(), "fill",
					Math.round(this.chain.fill() * 100) / 100.0, "attempt", this.sends, "after", this.lastEventId,
					"rank", this.request.rank(), "remainingMs", remainingMs, "configVersion", state.table().version(),
					"confirmedMsAgo", state.confirmationAgeMs(), "peers", this.services.loads().peerCount());
	}

	private ChainRequest chainRequest() {
		ModelPool pool = this.request.service().pool().orElseThrow();
		CallerAttributes attributes = this.request.attributes();
		int answer = pool.usualAnswerTokens();
		if (attributes.estimatedAnswerTokens() > 0) {
			answer = attributes.estimatedAnswerTokens();
		}
		if (attributes.maxAnswerTokens() > 0) {
			answer = Math.min(answer, attributes.maxAnswerTokens());
		}
		int prompt = (attributes.promptTokens() > 0) ? attributes.promptTokens() : pool.usualPromptTokens();
		return new ChainRequest(prompt, Math.max(1, answer), this.request.rank(),
				this.services.settings().availabilityZone());
	}

	private void endAttempt() {
		if (this.call != null) {
			this.call.close();
			this.call = null;
		}
		if (this.chain != null) {
			this.chain.reservation().close();
		}
	}

	private String onHeader(Signal.Header header) {
		BackendVerdict verdict = this.services.dialect()
			.verdict(this.request.id(), header.status(), HeaderList.lookup(header.headers()));
		if (!verdict.belongsToRequest()) {
			return goOn("foreign", "the response belongs to another request");
		}
		if (verdict.notExecuted()) {
			return onNotExecuted(header.status(), verdict);
		}
		if (!verdict.genuine()) {
			return goOn("unproven", "status " + header.status() + " without the server's proof");
		}
		this.headerSeen = true;
		this.status = header.status();
		if (!this.started) {
			this.headers = this.services.dialect().responseHeaders(header.headers());
		}
		if (header.status() < OK || header.status() >= MULTIPLE_CHOICES) {
			this.plainBody = new ByteArrayOutputStream();
		}
		return null;
	}

	private String onNotExecuted(int refusedStatus, BackendVerdict verdict) {
		this.runs--;
		Optional<ServiceInstance> faulty = verdict.faultyAddress()
			.flatMap((address) -> this.services.state().fleet().atAddress(address));
		this.excluded.add(faulty.map(ServiceInstance::id).orElse(this.chain.ids().getFirst()));
		faulty.ifPresent((server) -> this.services.state().refused(zoneBefore(server.id()), server));
		return goOn("not-executed",
				"status " + refusedStatus + " from " + verdict.faultyAddress().orElse(this.call.address()));
	}

	private String zoneBefore(String serverId) {
		String before = this.services.settings().availabilityZone();
		for (ChainHop hop : this.chain.hops()) {
			if (hop.server().id().equals(serverId)) {
				return before;
			}
			before = hop.server().availabilityZone();
		}
		return before;
	}

	private String onData(byte[] bytes) {
		this.call.consumed();
		if (this.plainBody != null) {
			this.plainBody.writeBytes(bytes);
			return (this.plainBody.size() > MAX_BODY_BYTES) ? goOn("too-large", "the response is too large") : null;
		}
		for (StreamedEvent event : this.parser.add(bytes)) {
			deliver(event);
		}
		moveFromLeaving();
		return null;
	}

	private void deliver(StreamedEvent event) {
		this.ran = true;
		long nowMs = this.services.nowMs();
		this.pauses.event(nowMs);
		this.moved = false;
		this.askAtMs = nowMs + this.pauses.unusualMs();
		if (event.id() != StreamedEvent.NO_ID) {
			if (event.id() <= this.lastEventId) {
				return;
			}
			this.lastEventId = event.id();
		}
		if (!this.started) {
			this.started = true;
			this.response.startStream(this.status, this.headers);
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

	private String onEnd() {
		if (!this.headerSeen) {
			return goOn("broken", "the response has no header");
		}
		if (this.plainBody != null) {
			return onServerFailure();
		}
		if (this.parser.hasPartialEvent()) {
			return goOn("broken", "the stream ended within an event");
		}
		if (!this.started) {
			this.response.startStream(this.status, this.headers);
		}
		this.response.finish();
		this.services.log()
			.event(PART, "whole", "id", this.request.id(), "firstMs", this.firstEventMs, "longestGapMs",
					this.longestGapMs, "events", this.eventsDelivered, "attempts", this.sends);
		this.services.metrics().whole(this.request.kind(), this.services.nowMs() - this.request.arrivedMs());
		return "answered";
	}

	private String onServerFailure() {
		this.ran = true;
		if (this.started || (this.status >= SERVER_ERROR && mayRunAgain())) {
			this.excluded.add(this.chain.ids().getFirst());
			return goOn("server-error", "status " + this.status);
		}
		this.response.deliver(this.status, this.headers, this.plainBody.toByteArray());
		return "server-error";
	}

	private String onFailed(Signal.Failed failed) {
		this.excluded.add(this.chain.ids().getFirst());
		if (failed.notSent()) {
			this.runs--;
			suspectFirst();
		}
		else {
			this.ran = true;
		}
		return goOn((failed.notSent()) ? "unreachable" : "broken", failed.reason());
	}

	private void suspectFirst() {
		this.services.state()
			.fleet()
			.instance(this.chain.ids().getFirst())
			.ifPresent((server) -> this.services.state().suspect(this.services.settings().availabilityZone(), server));
	}

	private String onDiagnosis(Signal.Diagnosis diagnosis) {
		if (diagnosis.faultyAddress().isEmpty()
				|| this.pauses.silentMs(this.services.nowMs()) < StreamPauses.ASK_AFTER_MS) {
			return null;
		}
		this.services.state().fleet().atAddress(diagnosis.faultyAddress()).ifPresent((server) -> {
			this.excluded.add(server.id());
			this.services.state().suspect(zoneBefore(server.id()), server);
		});
		this.ran = true;
		return goOn("stalled", "the chain waits for " + diagnosis.faultyAddress());
	}

	// Ends the attempt and goes on at another chain, or gives up.
	private String goOn(String event, String reason) {
		this.lastFailure = reason;
		this.services.log()
			.event(PART, event, "id", this.request.id(), "reason", reason, "delivered", this.eventsDelivered, "runs",
					this.runs);
		endAttempt();
		if (this.runs > 0 && !mayRunAgain() && !firstEngineGone()) {
			return giveUp(reason);
		}
		long nowMs = this.services.nowMs();
		this.searchEvent = event;
		this.searchUntilMs = nowMs + ((this.started) ? RESUME_SEARCH_MS : 0);
		return search(nowMs);
	}

	private String search(long nowMs) {
		if (send(this.searchEvent)) {
			this.searchEvent = null;
			return null;
		}
		this.searchAtMs = nowMs + LOOK_AGAIN_MS;
		return (nowMs >= this.searchUntilMs) ? giveUp(this.lastFailure) : null;
	}

	// An engine that has ended does not count towards the attempts of the route.
	private boolean firstEngineGone() {
		String first = this.chain.ids().getFirst();
		return (this.request.route().idempotent() || !this.ran)
				&& (this.services.state().fleet().instance(first).isEmpty() || this.services.state()
					.isSuspect(this.services.settings().availabilityZone(), first,
							this.chain.hops().getFirst().server().availabilityZone()));
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
		long retryAfterMs = ReturnTime.busyMs(this.request.rank(), this.request.endMs() - this.services.nowMs(),
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
