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
 * Entry point of all caller requests.
 */
public final class CallerHandler implements HttpHandler {

	private static final String CHAT_COMPLETIONS = "/v1/chat/completions";

	private static final long RETRY_AFTER_MS = 1000;

	private final String hostId;

	private final String start = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);

	private final AtomicLong requests = new AtomicLong();

	private final Supplier<RouteTable> table;

	private final Lifecycle lifecycle;

	private final ModelDependencies services;

	private final ModelHandler models;

	private final ServiceHandler plainServices;

	/**
	 * Creates a handler.
	 * @param hostId name of this host
	 * @param table the configuration in force, {@code null} before the first one
	 * @param lifecycle graceful shutdown
	 * @param services what model requests need
	 * @param runner runner of plain-service calls
	 * @param ledger claims of non-idempotent calls
	 * @param admission admission
	 */
	public CallerHandler(String hostId, Supplier<RouteTable> table, Lifecycle lifecycle, ModelDependencies services,
			ServiceExecutor runner, ClaimLedger ledger, AdmissionController admission) {
		this.hostId = hostId;
		this.table = table;
		this.lifecycle = lifecycle;
		this.services = services;
		Identification identification = new Identification();
		this.models = new ModelHandler(services, admission, identification);
		this.plainServices = new ServiceHandler(runner, ledger, hostId, admission, identification, services.gossip(),
				services.metrics(), services.clock());
	}

	@Override
	public void handle(HttpServerExchange exchange) throws IOException {
		// Engines know requests by this identifier, so it must be unique over all hosts
		// and
		// cannot be the caller's own.
		String id = this.hostId + "-" + this.start + "-"
				+ Long.toString(this.requests.incrementAndGet(), Character.MAX_RADIX);
		exchange.addResponseHeader("X-Request-Id", id);
		CallerContext context = new CallerContext(id, exchange, this.services.metrics(), this.services.traces());
		if (!this.lifecycle.tryStartRequest()) {
			exchange.addResponseHeader("Connection", "close");
			context.end(Problem.notRun(ProblemType.DRAINING, "the entry host is about to stop", null, RETRY_AFTER_MS));
			return;
		}
		try {
			exchange.header("X-Request-Id")
				.filter((callerId) -> callerId.matches("[A-Za-z0-9._:-]{1,64}"))
				.ifPresent((callerId) -> this.services.traces().recordCallerId(callerId, id));
			dispatch(context);
		}
		catch (IOException ex) {
			context.ended("cut", "the caller left");
			throw ex;
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "http: request {} failed", id);
			failed(context);
		}
		finally {
			this.lifecycle.endRequest();
		}
	}

	private void dispatch(CallerContext context) throws IOException {
		RouteTable current = this.table.get();
		if (current == null) {
			context
				.end(Problem.notRun(ProblemType.NOT_READY, "the host has no configuration yet", null, RETRY_AFTER_MS));
		}
		else if (CHAT_COMPLETIONS.equals(context.exchange().path())) {
			this.models.handle(context, current);
		}
		else {
			this.plainServices.handle(context, current);
		}
	}

	private static void failed(CallerContext context) throws IOException {
		if (context.exchange().isResponseStarted()) {
			context.ended("failed", "internal error");
			context.exchange().abort();
			return;
		}
		context.end(Problem.mayHaveRun(ProblemType.INTERNAL, "internal error", null));
	}

}
