package org.medlardrum.gateway.internal.http;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import org.medlardrum.gateway.internal.log.DecisionLog;
import org.medlardrum.gateway.internal.request.CallerExchange;
import org.medlardrum.gateway.internal.state.GatewayState;

/**
 * Handles the readiness probe, which reports whether the load balancer may send new
 * connections to this host, and the liveness probe.
 */
public final class ReadinessHandler implements StreamingHttpService {

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int UNAVAILABLE = 503;

	private static final String LIVENESS_PATH = "/livez";

	private static final String READINESS_PATH = "/readyz";

	private final GatewayState state;

	private final DecisionLog log;

	private final String platformPath;

	private volatile String lastReason = "";

	/**
	 * Creates a handler.
	 * @param state state of the host
	 * @param log the log
	 * @param platformPath additional path of the readiness probe
	 */
	public ReadinessHandler(GatewayState state, DecisionLog log, String platformPath) {
		this.state = state;
		this.log = log;
		this.platformPath = platformPath;
	}

	@Override
	public Single<StreamingHttpResponse> handle(HttpServiceContext context, StreamingHttpRequest request,
			StreamingHttpResponseFactory responses) {
		CallerExchange exchange = new CallerExchange(context, request, responses);
		String path = exchange.path();
		if (path.equals(LIVENESS_PATH)) {
			respond(exchange, OK, "live");
		}
		else if (path.equals(this.platformPath) || path.equals(READINESS_PATH)) {
			String reason = notReadyReason();
			if (!reason.equals(this.lastReason)) {
				this.lastReason = reason;
				this.log.event("ready", (reason.isEmpty()) ? "ready" : "not-ready", "reason", reason, "confirmedMsAgo",
						this.state.confirmationAgeMs());
			}
			respond(exchange, (reason.isEmpty()) ? OK : UNAVAILABLE, (reason.isEmpty()) ? "ready" : reason);
		}
		else {
			respond(exchange, NOT_FOUND, "unknown path");
		}
		return exchange.response();
	}

	private String notReadyReason() {
		if (this.state.isDraining()) {
			return "draining";
		}
		if (this.state.table() == null) {
			return "no configuration";
		}
		if (!this.state.isFresh()) {
			return "configuration not confirmed";
		}
		return (this.state.isWarming()) ? "warming up" : "";
	}

	private static void respond(CallerExchange exchange, int status, String text) {
		exchange.respond(status, List.of("content-type", "text/plain"), text.getBytes(StandardCharsets.UTF_8));
	}

}
