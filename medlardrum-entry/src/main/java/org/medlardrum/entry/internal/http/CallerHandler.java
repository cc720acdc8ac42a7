package org.medlardrum.entry.internal.http;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.medlardrum.coordination.claims.ClaimLedger;
import org.medlardrum.entry.internal.admission.AdmissionController;
import org.medlardrum.entry.internal.host.Lifecycle;
import org.medlardrum.entry.internal.model.ModelDependencies;
import org.medlardrum.entry.internal.route.RouteTable;
import org.medlardrum.entry.internal.service.ServiceExecutor;
import org.medlardrum.protocol.problem.Problem;
import org.medlardrum.protocol.problem.ProblemType;
import org.medlardrum.transport.server.HttpHandler;
import org.medlardrum.transport.server.HttpServerExchange;
import org.tinylog.Logger;

/**
 * Handles all caller requests: assigns an identifier and dispatches to the handler for
 * model requests or for plain services.
 */
public final class CallerHandler implements HttpHandler {

	private static final String CHAT_COMPLETIONS = "/v1/chat/completions";

	private static final long RETRY_AFTER_MS = 1000;

	private final String hostId;

	/** Start time of the host, which keeps identifiers unique across restarts. */
	private final String startId = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);

	private final AtomicLong requestCount = new AtomicLong();

	private final Supplier<RouteTable> routeTable;

	private final Lifecycle lifecycle;

	private final ModelDependencies dependencies;

	private final ModelHandler modelHandler;

	private final ServiceHandler serviceHandler;

	/**
	 * Creates a handler.
	 * @param hostId identifier of this host
	 * @param table returns the route table in force, {@code null} before the first
	 * configuration
	 * @param lifecycle state of the graceful shutdown
	 * @param dependencies dependencies of model requests
	 * @param executor executes plain-service calls
	 * @param ledger records the claims of non-idempotent calls
	 * @param admission admits, queues or refuses requests
	 */
	public CallerHandler(String hostId, Supplier<RouteTable> table, Lifecycle lifecycle, ModelDependencies dependencies,
			ServiceExecutor executor, ClaimLedger ledger, AdmissionController admission) {
		this.hostId = hostId;
		this.routeTable = table;
		this.lifecycle = lifecycle;
		this.dependencies = dependencies;
		RequestAuthenticator authenticator = new RequestAuthenticator();
		this.modelHandler = new ModelHandler(dependencies, admission, authenticator);
		this.serviceHandler = new ServiceHandler(executor, ledger, hostId, admission, authenticator,
				dependencies.gossip(), dependencies.metrics(), dependencies.clock());
	}

	@Override
	public void handle(HttpServerExchange exchange) throws IOException {
		// Engines identify requests by this identifier, so it must be unique across all
		// hosts; the caller's own identifier cannot guarantee that.
		String id = this.hostId + "-" + this.startId + "-"
				+ Long.toString(this.requestCount.incrementAndGet(), Character.MAX_RADIX);
		exchange.addResponseHeader("X-Request-Id", id);
		CallerContext context = new CallerContext(id, exchange, this.dependencies.metrics(),
				this.dependencies.traces());
		if (!this.lifecycle.tryStartRequest()) {
			exchange.addResponseHeader("Connection", "close");
			context.respondWithProblem(
					Problem.notRun(ProblemType.DRAINING, "the entry host is about to stop", null, RETRY_AFTER_MS));
			return;
		}
		try {
			exchange.header("X-Request-Id")
				.filter((callerId) -> callerId.matches("[A-Za-z0-9._:-]{1,64}"))
				.ifPresent((callerId) -> this.dependencies.traces().recordCallerId(callerId, id));
			dispatch(context);
		}
		catch (IOException ex) {
			context.recordOutcome("cut", "the caller left");
			throw ex;
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "http: request {} failed with an internal error", id);
			endWithInternalError(context);
		}
		finally {
			this.lifecycle.endRequest();
		}
	}

	private void dispatch(CallerContext context) throws IOException {
		RouteTable current = this.routeTable.get();
		if (current == null) {
			context.respondWithProblem(
					Problem.notRun(ProblemType.NOT_READY, "the host has no configuration yet", null, RETRY_AFTER_MS));
		}
		else if (CHAT_COMPLETIONS.equals(context.exchange().path())) {
			this.modelHandler.handle(context, current);
		}
		else {
			this.serviceHandler.handle(context, current);
		}
	}

	private static void endWithInternalError(CallerContext context) throws IOException {
		if (context.exchange().isResponseStarted()) {
			context.recordOutcome("failed", "internal error");
			context.exchange().abort();
			return;
		}
		context.respondWithProblem(Problem.mayHaveRun(ProblemType.INTERNAL, "internal error", null));
	}

}
