package org.medlardrum.gateway.internal.http;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.concurrent.api.SourceAdapters;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import org.medlardrum.decisions.routing.RetryAfter;
import org.medlardrum.decisions.routing.StartupWait;
import org.medlardrum.gateway.CallerAttributes;
import org.medlardrum.gateway.internal.call.Signal;
import org.medlardrum.gateway.internal.plain.PlainExecution;
import org.medlardrum.gateway.internal.relay.RelayHeader;
import org.medlardrum.gateway.internal.relay.RelaySource;
import org.medlardrum.gateway.internal.request.CallerExchange;
import org.medlardrum.gateway.internal.request.CallerResponse;
import org.medlardrum.gateway.internal.request.GatewayRequest;
import org.medlardrum.gateway.internal.request.RequestDependencies;
import org.medlardrum.gateway.internal.request.RequestExecution;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.gateway.internal.stream.StreamExecution;
import org.medlardrum.protocol.problem.ProblemType;
import org.medlardrum.state.routing.KeyHolder;
import org.medlardrum.state.routing.RequestLimits;
import org.medlardrum.state.routing.RoutedService;
import org.medlardrum.state.routing.RoutingTable;
import org.medlardrum.state.routing.ServiceRoute;

/**
 * Handles the requests of callers: determines the route and the organisation and starts
 * the request, or refuses it.
 */
public final class GatewayHandler implements StreamingHttpService {

	private static final int UNKNOWN_RANK = -1;

	/** Kind in logs and metrics of a request that was not admitted. */
	private static final String NO_KIND = "none";

	/**
	 * Time after the stop request during which requests are still admitted. The load
	 * balancer needs 2 s to remove the host, and admitted requests must end within the
	 * grace period of 8 s.
	 */
	private static final long MAX_ADMISSION_WHILE_DRAINING_MS = 2_900;

	/** Interval at which a waiting request polls for the first configuration. */
	private static final long STARTUP_POLL_MS = 20;

	private static final String PART = "request";

	private final RequestDependencies dependencies;

	private final boolean servesHosts;

	private final OpenRequests openRequests = new OpenRequests();

	private final long startedAtMs;

	private volatile boolean refusing;

	private volatile long received;

	/**
	 * Creates a handler.
	 * @param dependencies settings, state and shared objects
	 * @param servesHosts whether the requests come from other entry hosts
	 */
	public GatewayHandler(RequestDependencies dependencies, boolean servesHosts) {
		this.dependencies = dependencies;
		this.servesHosts = servesHosts;
		this.startedAtMs = dependencies.nowMs();
	}

	/**
	 * Returns the number of requests that are not decided or whose response is not
	 * written.
	 * @return the number of requests
	 */
	public int inProgress() {
		return this.openRequests.size();
	}

	/**
	 * Returns how many requests have arrived.
	 * @return the number since the start
	 */
	public long received() {
		return this.received;
	}

	/**
	 * Describes the requests in progress for the log.
	 * @return the oldest requests
	 */
	public String describeInProgress() {
		return this.openRequests.describe(this.dependencies.nowMs());
	}

	/**
	 * Refuses all further requests, because the host is about to close its connections.
	 */
	public void refuseNewRequests() {
		this.refusing = true;
	}

	/**
	 * Ends all requests in progress: with an answer, or by aborting a streamed response.
	 */
	public void stopRequests() {
		this.dependencies.executor().execute(this.openRequests::stopAll);
	}

	@Override
	public Single<StreamingHttpResponse> handle(HttpServiceContext context, StreamingHttpRequest request,
			StreamingHttpResponseFactory responses) {
		// Incremented on the event loop only.
		this.received++;
		long arrivedAtMs = this.dependencies.nowMs();
		CallerExchange exchange = new CallerExchange(context, request, responses);
		EventLoopServer.onPeerClosed(context, exchange::peerClosed);
		OpenRequest open = this.openRequests.begin(arrivedAtMs);
		EventLoopServer.keepOpenWhile(context, open::isAwaited);
		exchange.onEnd(() -> EventLoopServer.afterWrites(context, () -> {
			open.recordWritten();
			exchange.recordWritten();
		}));
		try {
			receive(context, request, exchange, open);
		}
		catch (RuntimeException | Error ex) {
			failInternally(exchange, open, ex);
		}
		return exchange.response();
	}

	private void receive(HttpServiceContext context, StreamingHttpRequest request, CallerExchange exchange,
			OpenRequest open) {
		CallerAttributes attributes = this.dependencies.dialect().parseAttributes(exchange::header);
		open.setId(attributes.requestId());
		if (this.servesHosts) {
			exchange.setProblemHeaders(List.of(RelayHeader.REQUEST_ID_NAME, attributes.requestId()));
		}
		RoutingTable table = this.dependencies.state().table();
		int maxBytes = ((table != null) ? table.limits() : RequestLimits.DEFAULT).bodyBytes();
		SourceAdapters
			.toSource(request.payloadBody()
				.collect(ByteArrayOutputStream::new, (content, buffer) -> append(content, buffer, maxBytes)))
			.subscribe(new BodySubscriber(context, exchange, attributes, open, maxBytes));
	}

	// Each request that was read must get a response and end once.
	private void failInternally(CallerExchange exchange, OpenRequest open, Throwable failure) {
		if (failure instanceof OutOfMemoryError outOfMemory) {
			throw outOfMemory;
		}
		this.dependencies.log().event(PART, "internal-error", "id", open.id(), "error", failure);
		new CallerResponse(exchange, this.dependencies.state()).abandon(UNKNOWN_RANK);
		recordEnd(open, NO_KIND, "internal-error");
	}

	// Stores no more once the limit is exceeded. The stored size then shows the excess.
	private static ByteArrayOutputStream append(ByteArrayOutputStream content, Buffer buffer, int maxBytes) {
		byte[] part = new byte[buffer.readableBytes()];
		buffer.readBytes(part);
		if (content.size() <= maxBytes) {
			content.writeBytes(part);
		}
		return content;
	}

	private void admitAndStart(CallerExchange exchange, CallerAttributes attributes, OpenRequest open, byte[] body) {
		try {
			if (waitsForConfiguration(open.arrivedAtMs())) {
				this.dependencies.executor()
					.schedule(() -> admitAndStart(exchange, attributes, open, body), STARTUP_POLL_MS,
							TimeUnit.MILLISECONDS);
				return;
			}
			Admission admission = admit(exchange, attributes, open.arrivedAtMs(), body);
			if (admission.request() == null) {
				recordEnd(open, NO_KIND, admission.outcome());
				return;
			}
			startRequest(exchange, admission.request(), open);
		}
		catch (RuntimeException | Error ex) {
			failInternally(exchange, open, ex);
		}
	}

	private boolean waitsForConfiguration(long arrivedAtMs) {
		GatewayState state = this.dependencies.state();
		boolean configured = state.table() != null && state.confirmationAgeMs() != Long.MAX_VALUE
				&& !state.isAwaitingPeers();
		long nowMs = this.dependencies.nowMs();
		return !configured && !state.isDraining() && StartupWait.waits(nowMs - this.startedAtMs, nowMs - arrivedAtMs);
	}

	private void recordEnd(OpenRequest open, String kind, String outcome) {
		if (!open.recordDecision()) {
			return;
		}
		this.dependencies.metrics().countRequest(kind, outcome);
		this.dependencies.log()
			.event(PART, "end", "id", open.id(), "kind", kind, "outcome", outcome, "tookMs",
					this.dependencies.nowMs() - open.arrivedAtMs());
	}

	private Admission admit(CallerExchange exchange, CallerAttributes attributes, long arrivedAtMs, byte[] body) {
		CallerResponse response = new CallerResponse(exchange, this.dependencies.state());
		if (this.servesHosts && this.dependencies.state().isCutOff()) {
			response.refuse(ProblemType.NO_CAPACITY, "The host has no path to the servers", UNKNOWN_RANK,
					otherHostRetryAfterMs());
			return Admission.refused("cut-off");
		}
		RoutingTable table = this.dependencies.state().table();
		if (table == null) {
			response.refuse(ProblemType.NOT_READY, "No configuration is known yet", UNKNOWN_RANK,
					otherHostRetryAfterMs());
			return Admission.refused("no-configuration");
		}
		if (this.refusing || this.dependencies.state().drainingForMs() > MAX_ADMISSION_WHILE_DRAINING_MS) {
			response.refuse(ProblemType.DRAINING, "The host is about to stop", UNKNOWN_RANK, otherHostRetryAfterMs());
			return Admission.refused("draining");
		}
		Optional<ServiceRoute> route = table.route(exchange.header("host").orElse(""), exchange.path());
		if (route.isEmpty()) {
			return refuseUnknown(response, ProblemType.UNKNOWN_ROUTE, "No route matches", attributes);
		}
		Optional<KeyHolder> holder = attributes.apiKey().flatMap(table::holder);
		boolean requiresKey = table.requiresKeys() && !route.get().open();
		if (requiresKey && !this.dependencies.state().isFresh()) {
			return refuseStale(response, attributes);
		}
		if (requiresKey && holder.isEmpty()) {
			return refuseUnknown(response, ProblemType.UNKNOWN_KEY, "The key belongs to no organisation", attributes);
		}
		return admitToService(exchange, attributes, arrivedAtMs, table, route.get(), holder, body);
	}

	private Admission admitToService(CallerExchange exchange, CallerAttributes attributes, long arrivedAtMs,
			RoutingTable table, ServiceRoute route, Optional<KeyHolder> holder, byte[] body) {
		// A holder with a negative rank has none of its own.
		int rank = holder.map(KeyHolder::rank).filter((holderRank) -> holderRank >= 0).orElse(route.rank());
		Optional<RoutedService> service = table.service(route.service(this.dependencies.random().nextDouble()));
		if (service.isEmpty()) {
			new CallerResponse(exchange, this.dependencies.state()).refuse(ProblemType.NO_CAPACITY,
					"The route leads to an unknown service", rank, otherHostRetryAfterMs());
			return Admission.refused("unknown-service");
		}
		long timeoutMs = (attributes.deadlineMs() > 0) ? Math.min(attributes.deadlineMs(), route.timeoutMs())
				: route.timeoutMs();
		GatewayRequest request = new GatewayRequest(exchange.method(), exchange.target(),
				RelayHeader.without(exchange.headers()), body, attributes, route, service.get(),
				holder.map(KeyHolder::organisation), rank, arrivedAtMs, arrivedAtMs + timeoutMs, source(exchange));
		long quarantinedForMs = this.dependencies.quarantine().quarantinedForMs(request);
		if (quarantinedForMs > 0) {
			return refuseQuarantined(new CallerResponse(exchange, this.dependencies.state()), request,
					quarantinedForMs);
		}
		return new Admission(request, "admitted");
	}

	private RelaySource source(CallerExchange exchange) {
		if (!this.servesHosts) {
			return RelaySource.CALLER;
		}
		return (RelayHeader.isFirst(exchange.header(RelayHeader.NAME).orElse(""))) ? RelaySource.HOST_FIRST
				: RelaySource.HOST_AGAIN;
	}

	private Admission refuseQuarantined(CallerResponse response, GatewayRequest request, long quarantinedForMs) {
		this.dependencies.log()
			.event(PART, "refuse", "id", request.id(), "reason", "quarantined", "forMs", quarantinedForMs);
		response.refuse(ProblemType.QUARANTINED, "The request crashed backend servers", request.rank(),
				quarantinedForMs);
		return Admission.refused("quarantined");
	}

	private Admission refuseStale(CallerResponse response, CallerAttributes attributes) {
		this.dependencies.log()
			.event(PART, "refuse", "id", attributes.requestId(), "reason", "configuration-not-confirmed",
					"confirmedMsAgo", this.dependencies.state().confirmationAgeMs(), "version",
					this.dependencies.state().version(), "peerVersion", this.dependencies.state().highestPeerVersion(),
					"era", this.dependencies.state().storeEra());
		response.refuse(ProblemType.NOT_READY, "The configuration could not be confirmed in time", UNKNOWN_RANK,
				otherHostRetryAfterMs());
		return Admission.refused("configuration-not-confirmed");
	}

	// Refuses a route or key that is not in the configuration. A host whose configuration
	// may be out of date cannot be certain of that and sends the caller to another host.
	private Admission refuseUnknown(CallerResponse response, ProblemType type, String detail,
			CallerAttributes attributes) {
		if (!this.dependencies.state().isFresh()) {
			return refuseStale(response, attributes);
		}
		response.refuse(type, detail, UNKNOWN_RANK, 0);
		return Admission.refused(type.name().toLowerCase(Locale.ROOT).replace('_', '-'));
	}

	private long otherHostRetryAfterMs() {
		return RetryAfter.otherHostMs(this.dependencies.random());
	}

	private void startRequest(CallerExchange exchange, GatewayRequest request, OpenRequest open) {
		CallerResponse response = new CallerResponse(exchange, this.dependencies.state());
		Consumer<String> listener = (outcome) -> recordEnd(open, request.trafficKind(), outcome);
		// Both may apply: the route decides how the response is delivered, the service
		// where
		// attempts go.
		RequestExecution execution = (request.route().streams() || request.service().pool().isPresent())
				? new StreamExecution(this.dependencies, request, response, listener)
				: new PlainExecution(this.dependencies, request, response, listener);
		execution.readmitBy(() -> readmit(exchange, request, open));
		exchange.onDisconnect(() -> execution.onSignal(new Signal.CallerDisconnected()));
		open.onStop(execution::stop);
		execution.start();
	}

	// Returns the outcome if a new request would be refused now.
	private String readmit(CallerExchange exchange, GatewayRequest request, OpenRequest open) {
		Admission admission = admit(exchange, request.attributes(), open.arrivedAtMs(), request.body());
		return (admission.request() == null) ? admission.outcome() : null;
	}

	/**
	 * Starts a request once its body is complete.
	 */
	private final class BodySubscriber implements SingleSource.Subscriber<ByteArrayOutputStream> {

		private final HttpServiceContext context;

		private final CallerExchange exchange;

		private final CallerAttributes attributes;

		private final OpenRequest open;

		private final int maxBytes;

		BodySubscriber(HttpServiceContext context, CallerExchange exchange, CallerAttributes attributes,
				OpenRequest open, int maxBytes) {
			this.context = context;
			this.exchange = exchange;
			this.attributes = attributes;
			this.open = open;
			this.maxBytes = maxBytes;
		}

		@Override
		public void onSubscribe(Cancellable cancellable) {
			// Never cancelled: an incomplete body fails when its connection closes.
		}

		@Override
		public void onSuccess(ByteArrayOutputStream content) {
			this.open.recordReceived();
			if (content.size() > this.maxBytes) {
				new CallerResponse(this.exchange, GatewayHandler.this.dependencies.state())
					.refuse(ProblemType.BODY_TOO_LARGE, "Body exceeds " + this.maxBytes + " bytes", UNKNOWN_RANK, 0);
				recordEnd(this.open, NO_KIND, "body-too-large");
				return;
			}
			admitAndStart(this.exchange, this.attributes, this.open, content.toByteArray());
			this.context.executionContext().ioExecutor().execute(() -> EventLoopServer.detectPeerClose(this.context));
		}

		@Override
		public void onError(Throwable failure) {
			GatewayHandler.this.dependencies.log()
				.event(PART, "body-incomplete", "id", this.attributes.requestId(), "reason", failure);
			this.exchange.drop();
			recordEnd(this.open, NO_KIND, "body-incomplete");
		}

	}

	/**
	 * Result of the admission checks.
	 *
	 * @param request the request, {@code null} if it was refused
	 * @param outcome outcome for logs and metrics
	 */
	private record Admission(GatewayRequest request, String outcome) {

		static Admission refused(String outcome) {
			return new Admission(null, outcome);
		}

		String kind() {
			return (this.request != null) ? this.request.trafficKind() : NO_KIND;
		}

	}

}
