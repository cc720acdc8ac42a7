package org.medlardrum.entry.internal.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.google.gson.JsonParseException;
import org.medlardrum.entry.internal.admission.AdmissionController;
import org.medlardrum.entry.internal.admission.AdmissionResult;
import org.medlardrum.entry.internal.admission.Ticket;
import org.medlardrum.entry.internal.model.ExecutionResult;
import org.medlardrum.entry.internal.model.ModelDependencies;
import org.medlardrum.entry.internal.model.ModelExecution;
import org.medlardrum.entry.internal.model.ModelJob;
import org.medlardrum.entry.internal.route.Digests;
import org.medlardrum.entry.internal.route.Route;
import org.medlardrum.entry.internal.route.RouteTable;
import org.medlardrum.protocol.caller.ChatCodec;
import org.medlardrum.protocol.caller.ChatRequest;
import org.medlardrum.protocol.problem.Problem;
import org.medlardrum.protocol.problem.ProblemType;
import org.medlardrum.state.Rank;
import org.medlardrum.state.config.ModelConfig;
import org.medlardrum.state.config.RankConfig;

/**
 * Handles {@code POST /v1/chat/completions}: decodes, admits and executes model requests.
 */
final class ModelHandler {

	private static final long MS_PER_S = 1000;

	private final ModelDependencies dependencies;

	private final AdmissionController admission;

	private final RequestAuthenticator authenticator;

	ModelHandler(ModelDependencies dependencies, AdmissionController admission, RequestAuthenticator authenticator) {
		this.dependencies = dependencies;
		this.admission = admission;
		this.authenticator = authenticator;
	}

	void handle(CallerContext context, RouteTable table) throws IOException {
		if (!"POST".equals(context.exchange().method())) {
			context.respondWithProblem(
					Problem.notRun(ProblemType.UNKNOWN_ROUTE, "chat completions take POST only", null, 0));
			return;
		}
		this.authenticator.authenticateAndHandle(context, table,
				(organisation, body) -> handleAuthenticated(context, table, organisation, body));
	}

	private void handleAuthenticated(CallerContext context, RouteTable table, String organisation, byte[] body)
			throws IOException {
		ChatRequest request;
		try {
			request = ChatCodec.decodeRequest(new String(body, StandardCharsets.UTF_8));
		}
		catch (JsonParseException ex) {
			context.respondWithProblem(Problem.notRun(ProblemType.BAD_REQUEST, ex.getMessage(), null, 0));
			return;
		}
		Optional<Route> route = table.modelRoute(request.model());
		if (route.isEmpty()) {
			context
				.respondWithProblem(Problem.notRun(ProblemType.UNKNOWN_ROUTE, "no model route has this name", null, 0));
			return;
		}
		context.rank(route.get().config().rank());
		if (!route.get().allows(organisation)) {
			context.respondWithProblem(Problem.notRun(ProblemType.ROUTE_NOT_ALLOWED,
					"the organisation may not use this route", route.get().config().rank(), 0));
			return;
		}
		ModelConfig model = table.configuration().models().get(route.get().config().model());
		if (model == null) {
			context.respondWithProblem(Problem.notRun(ProblemType.NO_CAPACITY,
					"the model of the route is not configured", route.get().config().rank(), 0));
			return;
		}
		admit(context, table, request, createJob(context, table, organisation, route.get(), model, request, body));
	}

	private ModelJob createJob(CallerContext context, RouteTable table, String organisation, Route route,
			ModelConfig model, ChatRequest request, byte[] body) {
		int limit = route.config().maxTokens();
		int maxTokens = (request.maxTokens() > 0) ? Math.min(request.maxTokens(), limit) : limit;
		String version = (model.version() != null) ? model.version() : "";
		String adapter = (route.config().adapter() != null) ? route.config().adapter() : "";
		long betweenTokensTargetMs = table.configuration().ranks().get(route.config().rank()).betweenTokensTargetMs();
		return new ModelJob(context.id(), organisation, route.name(), route.config().model(), version, adapter,
				model.pool(), model.layers(), route.config().rank(), request.prompt(), maxTokens,
				Digests.fingerprint(organisation, route.name(), "", body),
				this.dependencies.clock().millis() + route.config().timeoutMs(), betweenTokensTargetMs);
	}

	private void admit(CallerContext context, RouteTable table, ChatRequest request, ModelJob job) throws IOException {
		long quarantineRemainingMs = this.dependencies.gossip().quarantinedUntilMs(job.fingerprint())
				- this.dependencies.clock().millis();
		if (quarantineRemainingMs > 0) {
			context.respondWithProblem(Problem.notRun(ProblemType.QUARANTINED, "the request crashed backend servers",
					job.rank(), quarantineRemainingMs));
			return;
		}
		Thread thread = Thread.currentThread();
		context.exchange().onDisconnect(thread::interrupt);
		try (Ticket ticket = this.admission.offer(job.pool(), job.rank(), job.organisation(), job.maxCost(),
				job.deadlineMs())) {
			AdmissionResult result = ticket.await();
			if (!(result instanceof AdmissionResult.Started)) {
				context.respondWithProblem(AdmissionProblems.of(result, job.rank()));
				return;
			}
			this.dependencies.metrics().admissionWait(job.rank(), context.elapsedMs());
			execute(context, table, request, job, ticket);
		}
		catch (InterruptedException ex) {
			context.recordOutcome("cut", "the caller left the queue");
		}
	}

	private void execute(CallerContext context, RouteTable table, ChatRequest request, ModelJob job, Ticket ticket)
			throws IOException {
		CompletionWriter writer = new CompletionWriter(context, job, request.stream(), this.dependencies.metrics(),
				this.dependencies.clock().millis() / MS_PER_S);
		ModelExecution execution = new ModelExecution(this.dependencies, job, writer);
		ExecutionResult result = execution.execute();
		ticket.recordCost((double) execution.emitted().size() * job.layerCount());
		switch (result) {
			case ExecutionResult.Completed completed -> {
				writer.complete(execution.emitted(), completed.reason());
				context.recordOutcome("completed", execution.emitted().size() + " tokens");
				countIfWithinTargets(table, job, writer);
			}
			case ExecutionResult.Failed failed -> writer.fail(failed.problem());
			case ExecutionResult.CallerDisconnected cut -> {
				context.recordOutcome("cut", "the caller left after " + execution.emitted().size() + " tokens");
				context.exchange().abort();
			}
		}
	}

	private void countIfWithinTargets(RouteTable table, ModelJob job, CompletionWriter writer) {
		Rank rank = job.rank();
		RankConfig targets = table.configuration().ranks().get(rank);
		if (targets != null && writer.meetsTargets(targets.firstTokenTargetMs(), targets.betweenTokensTargetMs())) {
			this.dependencies.metrics().withinTarget(rank, job.organisation());
		}
	}

}
