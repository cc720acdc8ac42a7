package org.medlardrum.gateway.internal.http;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import org.medlardrum.decisions.routing.ReturnTime;
import org.medlardrum.gateway.CallerAttributes;
import org.medlardrum.gateway.internal.call.Mailbox;
import org.medlardrum.gateway.internal.call.Signal;
import org.medlardrum.gateway.internal.plain.PlainRun;
import org.medlardrum.gateway.internal.request.CallerResponse;
import org.medlardrum.gateway.internal.request.GatewayRequest;
import org.medlardrum.gateway.internal.request.RequestServices;
import org.medlardrum.gateway.internal.stream.StreamRun;
import org.medlardrum.protocol.problem.ProblemType;
import org.medlardrum.state.routing.KeyHolder;
import org.medlardrum.state.routing.RequestLimits;
import org.medlardrum.state.routing.RoutedService;
import org.medlardrum.state.routing.RoutingTable;
import org.medlardrum.state.routing.ServiceRoute;
import org.medlardrum.transport.server.BodyResult;
import org.medlardrum.transport.server.HttpHandler;
import org.medlardrum.transport.server.HttpServerExchange;

/**
 * Handles the requests of callers: finds route and organisation, or refuses.
 */
public final class GatewayHandler implements HttpHandler {

	private static final int UNKNOWN_RANK = -1;

	private static final String PART = "request";

	private final RequestServices services;

	private final AtomicInteger inProgress = new AtomicInteger();

	/**
	 * Creates a handler.
	 * @param services what all requests share
	 */
	public GatewayHandler(RequestServices services) {
		this.services = services;
	}

	/**
	 * Returns the number of requests in progress.
	 * @return the number
	 */
	public int inProgress() {
		return this.inProgress.get();
	}

	@Override
	public void handle(HttpServerExchange exchange) throws Exception {
		this.inProgress.incrementAndGet();
		long arrivedMs = this.services.nowMs();
		CallerAttributes attributes = this.services.dialect().attributes(exchange::header);
		String kind = "none";
		String outcome = "caller-gone";
		try {
			Admission admission = admit(exchange, attributes, arrivedMs);
			kind = admission.kind();
			outcome = admission.outcome();
			if (admission.request() != null) {
				outcome = serve(exchange, admission.request());
			}
		}
		catch (IOException ex) {
			outcome = "caller-gone";
		}
		catch (RuntimeException ex) {
			outcome = "internal-error";
			this.services.log().event(PART, "internal-error", "id", attributes.requestId(), "error", ex);
			if (exchange.isStarted()) {
				exchange.abort();
			}
			else {
				new CallerResponse(exchange, this.services.state()).fail(ProblemType.BACKEND_FAILED, "Internal error",
						UNKNOWN_RANK);
			}
		}
		finally {
			this.inProgress.decrementAndGet();
			this.services.metrics().request(kind, outcome);
			this.services.log()
				.event(PART, "end", "id", attributes.requestId(), "kind", kind, "outcome", outcome, "tookMs",
						this.services.nowMs() - arrivedMs);
		}
	}

	private Admission admit(HttpServerExchange exchange, CallerAttributes attributes, long arrivedMs)
			throws IOException {
		CallerResponse response = new CallerResponse(exchange, this.services.state());
		RoutingTable table = this.services.state().table();
		RequestLimits limits = (table != null) ? table.limits() : RequestLimits.DEFAULT;
		BodyResult body = exchange.readBody(limits.bodyBytes());
		if (body instanceof BodyResult.TooLarge large) {
			response.refuse(ProblemType.BODY_TOO_LARGE, "Body exceeds " + large.maxBytes() + " bytes", UNKNOWN_RANK, 0);
			return Admission.refused("body-too-large");
		}
		if (!(body instanceof BodyResult.Complete complete)) {
			return Admission.refused("body-incomplete");
		}
		if (table == null) {
			response.refuse(ProblemType.NOT_READY, "No configuration is known yet", UNKNOWN_RANK, otherHostMs());
			return Admission.refused("no-configuration");
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
		return route(exchange, attributes, arrivedMs, table, route.get(), holder, complete.bytes());
	}

	private Admission route(HttpServerExchange exchange, CallerAttributes attributes, long arrivedMs,
			RoutingTable table, ServiceRoute route, Optional<KeyHolder> holder, byte[] body) throws IOException {
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

	private Admission stale(CallerResponse response, CallerAttributes attributes) throws IOException {
		this.services.log()
			.event(PART, "refuse", "id", attributes.requestId(), "reason", "configuration-not-confirmed",
					"confirmedMsAgo", this.services.state().confirmationAgeMs());
		response.refuse(ProblemType.NOT_READY, "The configuration could not be confirmed in time", UNKNOWN_RANK,
				otherHostMs());
		return Admission.refused("configuration-not-confirmed");
	}

	// Answers for a route or key that the configuration does not have. A host whose
	// configuration may be old does not know that for certain.
	private Admission unknown(CallerResponse response, ProblemType type, String detail, CallerAttributes attributes)
			throws IOException {
		if (!this.services.state().isFresh()) {
			return stale(response, attributes);
		}
		response.refuse(type, detail, UNKNOWN_RANK, 0);
		return Admission.refused(type.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'));
	}

	private long otherHostMs() {
		return ReturnTime.otherHostMs(this.services.random());
	}

	private String serve(HttpServerExchange exchange, GatewayRequest request) throws IOException {
		Mailbox mailbox = new Mailbox();
		exchange.onDisconnect(() -> mailbox.offer(new Signal.CallerLeft()));
		CallerResponse response = new CallerResponse(exchange, this.services.state());
		if (request.service().pool().isPresent()) {
			return new StreamRun(this.services, request, response, mailbox).run();
		}
		return new PlainRun(this.services, request, response, mailbox).run();
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
