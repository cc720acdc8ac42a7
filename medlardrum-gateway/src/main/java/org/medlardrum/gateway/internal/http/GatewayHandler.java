package org.medlardrum.gateway.internal.http;

import java.io.ByteArrayOutputStream;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
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
import org.medlardrum.gateway.internal.plain.PlainRun;
import org.medlardrum.gateway.internal.request.CallerExchange;
import org.medlardrum.gateway.internal.request.CallerResponse;
import org.medlardrum.gateway.internal.request.GatewayRequest;
import org.medlardrum.gateway.internal.request.RequestRun;
import org.medlardrum.gateway.internal.request.RequestServices;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.gateway.internal.stream.StreamRun;
import org.medlardrum.protocol.problem.ProblemType;
import org.medlardrum.state.routing.KeyHolder;
import org.medlardrum.state.routing.RequestLimits;
import org.medlardrum.state.routing.RoutedService;
import org.medlardrum.state.routing.RoutingTable;
import org.medlardrum.state.routing.ServiceRoute;

/**
 * Handles the requests of callers: finds route and organisation, or refuses.
 */
public final class GatewayHandler implements StreamingHttpService {

	private static final int UNKNOWN_RANK = -1;

	/**
	 * Time after the request to stop in which requests are still admitted. The balancer
	 * needs 2 s to notice, and what is admitted must end within the grace period of 8 s.
	 */
	private static final long MAX_DRAINING_ADMISSION_MS = 2_900;

	/** Time between two looks for the first configuration. */
	private static final long STARTUP_LOOK_MS = 20;

	private static final String PART = "request";

	private final RequestServices services;

	private final AtomicInteger inProgress = new AtomicInteger();

	private final long startedMs;

	/**
	 * Creates a handler.
	 * @param services what all requests share
	 */
	public GatewayHandler(RequestServices services) {
		this.services = services;
		this.startedMs = services.nowMs();
	}

	/**
	 * Returns the number of requests in progress.
	 * @return the number
	 */
	public int inProgress() {
		return this.inProgress.get();
	}

	@Override
	public Single<StreamingHttpResponse> handle(HttpServiceContext context, StreamingHttpRequest request,
			StreamingHttpResponseFactory responses) {
		this.inProgress.incrementAndGet();
		long arrivedMs = this.services.nowMs();
		CallerExchange exchange = new CallerExchange(context, request, responses);
		EventLoopServer.onPeerClosed(context, exchange::peerClosed);
		CallerAttributes attributes = this.services.dialect().parseAttributes(exchange::header);
		RoutingTable table = this.services.state().table();
		int maxBytes = ((table != null) ? table.limits() : RequestLimits.DEFAULT).bodyBytes();
		SourceAdapters
			.toSource(request.payloadBody()
				.collect(ByteArrayOutputStream::new, (content, buffer) -> append(content, buffer, maxBytes)))
			.subscribe(new BodySubscriber(context, exchange, attributes, arrivedMs, maxBytes));
		return exchange.response();
	}

	private static ByteArrayOutputStream append(ByteArrayOutputStream content, Buffer buffer, int maxBytes) {
		byte[] part = new byte[buffer.readableBytes()];
		buffer.readBytes(part);
		if (content.size() <= maxBytes) {
			content.writeBytes(part);
		}
		return content;
	}

	private void begin(CallerExchange exchange, CallerAttributes attributes, long arrivedMs, byte[] body) {
		if (waitsForConfiguration(arrivedMs)) {
			this.services.executor()
				.schedule(() -> begin(exchange, attributes, arrivedMs, body), STARTUP_LOOK_MS, TimeUnit.MILLISECONDS);
			return;
		}
		try {
			Admission admission = admit(exchange, attributes, arrivedMs, body);
			if (admission.request() == null) {
				ended(attributes, "none", admission.outcome(), arrivedMs);
				return;
			}
			serve(exchange, admission.request());
		}
		catch (RuntimeException ex) {
			this.services.log().event(PART, "internal-error", "id", attributes.requestId(), "error", ex);
			new CallerResponse(exchange, this.services.state()).fail(ProblemType.BACKEND_FAILED, "Internal error",
					UNKNOWN_RANK);
			ended(attributes, "none", "internal-error", arrivedMs);
		}
	}

	private boolean waitsForConfiguration(long arrivedMs) {
		GatewayState state = this.services.state();
		boolean known = state.table() != null && state.confirmationAgeMs() != Long.MAX_VALUE;
		long nowMs = this.services.nowMs();
		return !known && !state.isDraining() && StartupWait.waits(nowMs - this.startedMs, nowMs - arrivedMs);
	}

	private void ended(CallerAttributes attributes, String kind, String outcome, long arrivedMs) {
		this.inProgress.decrementAndGet();
		this.services.metrics().request(kind, outcome);
		this.services.log()
			.event(PART, "end", "id", attributes.requestId(), "kind", kind, "outcome", outcome, "tookMs",
					this.services.nowMs() - arrivedMs);
	}

	private Admission admit(CallerExchange exchange, CallerAttributes attributes, long arrivedMs, byte[] body) {
		CallerResponse response = new CallerResponse(exchange, this.services.state());
		RoutingTable table = this.services.state().table();
		if (table == null) {
			response.refuse(ProblemType.NOT_READY, "No configuration is known yet", UNKNOWN_RANK, otherHostMs());
			return Admission.refused("no-configuration");
		}
		if (this.services.state().drainingForMs() > MAX_DRAINING_ADMISSION_MS) {
			response.refuse(ProblemType.DRAINING, "The host is about to stop", UNKNOWN_RANK, otherHostMs());
			return Admission.refused("draining");
		}
		Optional<ServiceRoute> route = table.route(exchange.header("host").orElse(""), exchange.path());
		if (route.isEmpty()) {
			return unknown(response, ProblemType.UNKNOWN_ROUTE, "No route matches", attributes);
		}
		Optional<KeyHolder> holder = attributes.apiKey().flatMap(table::holder);
		boolean keyed = table.requiresKeys() && !route.get().open();
		if (keyed && !this.services.state().isFresh()) {
			return stale(response, attributes);
		}
		if (keyed && holder.isEmpty()) {
			return unknown(response, ProblemType.UNKNOWN_KEY, "The key belongs to no organisation", attributes);
		}
		return route(exchange, attributes, arrivedMs, table, route.get(), holder, body);
	}

	private Admission route(CallerExchange exchange, CallerAttributes attributes, long arrivedMs, RoutingTable table,
			ServiceRoute route, Optional<KeyHolder> holder, byte[] body) {
		int rank = holder.map(KeyHolder::rank).filter((ofHolder) -> ofHolder >= 0).orElse(route.rank());
		Optional<RoutedService> service = table.service(route.service(this.services.random().nextDouble()));
		if (service.isEmpty()) {
			new CallerResponse(exchange, this.services.state()).refuse(ProblemType.NO_CAPACITY,
					"The route leads to an unknown service", rank, otherHostMs());
			return Admission.refused("unknown-service");
		}
		long limitMs = (attributes.deadlineMs() > 0) ? Math.min(attributes.deadlineMs(), route.timeoutMs())
				: route.timeoutMs();
		return new Admission(
				new GatewayRequest(exchange.method(), exchange.target(), exchange.headers(), body, attributes, route,
						service.get(), holder.map(KeyHolder::organisation), rank, arrivedMs, arrivedMs + limitMs),
				"admitted");
	}

	private Admission stale(CallerResponse response, CallerAttributes attributes) {
		this.services.log()
			.event(PART, "refuse", "id", attributes.requestId(), "reason", "configuration-not-confirmed",
					"confirmedMsAgo", this.services.state().confirmationAgeMs());
		response.refuse(ProblemType.NOT_READY, "The configuration could not be confirmed in time", UNKNOWN_RANK,
				otherHostMs());
		return Admission.refused("configuration-not-confirmed");
	}

	// Answers for a route or key that the configuration does not have. A host whose
	// configuration may be old does not know that for certain.
	private Admission unknown(CallerResponse response, ProblemType type, String detail, CallerAttributes attributes) {
		if (!this.services.state().isFresh()) {
			return stale(response, attributes);
		}
		response.refuse(type, detail, UNKNOWN_RANK, 0);
		return Admission.refused(type.name().toLowerCase(Locale.ROOT).replace('_', '-'));
	}

	private long otherHostMs() {
		return RetryAfter.otherHostMs(this.services.random());
	}

	private void serve(CallerExchange exchange, GatewayRequest request) {
		CallerResponse response = new CallerResponse(exchange, this.services.state());
		Consumer<String> listener = (outcome) -> ended(request.attributes(), request.kind(), outcome,
				request.arrivedMs());
		RequestRun run = (request.service().pool().isPresent())
				? new StreamRun(this.services, request, response, listener)
				: new PlainRun(this.services, request, response, listener);
		exchange.onCallerLeft(() -> run.on(new Signal.CallerLeft()));
		run.start();
	}

	/**
	 * Starts a request when its body is whole.
	 */
	private final class BodySubscriber implements SingleSource.Subscriber<ByteArrayOutputStream> {

		private final HttpServiceContext context;

		private final CallerExchange exchange;

		private final CallerAttributes attributes;

		private final long arrivedMs;

		private final int maxBytes;

		BodySubscriber(HttpServiceContext context, CallerExchange exchange, CallerAttributes attributes, long arrivedMs,
				int maxBytes) {
			this.context = context;
			this.exchange = exchange;
			this.attributes = attributes;
			this.arrivedMs = arrivedMs;
			this.maxBytes = maxBytes;
		}

		@Override
		public void onSubscribe(Cancellable cancellable) {
			// A body that does not arrive ends with its connection.
		}

		@Override
		public void onSuccess(ByteArrayOutputStream content) {
			if (content.size() > this.maxBytes) {
				new CallerResponse(this.exchange, GatewayHandler.this.services.state())
					.refuse(ProblemType.BODY_TOO_LARGE, "Body exceeds " + this.maxBytes + " bytes", UNKNOWN_RANK, 0);
				ended(this.attributes, "none", "body-too-large", this.arrivedMs);
				return;
			}
			begin(this.exchange, this.attributes, this.arrivedMs, content.toByteArray());
			this.context.executionContext().ioExecutor().execute(() -> EventLoopServer.watchPeer(this.context));
		}

		@Override
		public void onError(Throwable failure) {
			GatewayHandler.this.services.log()
				.event(PART, "body-incomplete", "id", this.attributes.requestId(), "reason", failure);
			this.exchange.drop();
			ended(this.attributes, "none", "body-incomplete", this.arrivedMs);
		}

	}

	/**
	 * Result of the checks before a request is sent to a backend server.
	 *
	 * @param request the request, {@code null} if it was refused
	 * @param outcome outcome for logs and metrics
	 */
	private record Admission(GatewayRequest request, String outcome) {

		static Admission refused(String outcome) {
			return new Admission(null, outcome);
		}

		String kind() {
			return (this.request != null) ? this.request.kind() : "none";
		}

	}

}
