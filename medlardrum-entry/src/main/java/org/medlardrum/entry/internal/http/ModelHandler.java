package org.medlardrum.entry.internal.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.google.gson.JsonParseException;
import org.medlardrum.entry.internal.admission.AdmissionController;
import org.medlardrum.entry.internal.admission.AdmissionResult;
import org.medlardrum.entry.internal.admission.Ticket;
import org.medlardrum.entry.internal.model.ModelDependencies;
import org.medlardrum.entry.internal.model.ModelJob;
import org.medlardrum.entry.internal.model.ModelRun;
import org.medlardrum.entry.internal.model.RunResult;
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
 * Handles {@code POST /v1/chat/completions}.
 */
final class ModelHandler {

	private static final long MS_PER_S = 1000;

	private final ModelDependencies services;

	private final AdmissionController admission;

	private final Identification identification;

	ModelHandler(ModelDependencies services, AdmissionController admission, Identification identification) {
		this.services = services;
		this.admission = admission;
		this.identification = identification;
	}

	void handle(CallerContext context, RouteTable table) throws IOException {
		if (!"POST".equals(context.exchange().method())) {
			context.end(Problem.notRun(ProblemType.UNKNOWN_ROUTE, "chat completions take POST only", null, 0));
			return;
		}
		this.identification.withBody(context, table,
				(organisation, body) -> identified(context, table, organisation, body));
	}

	private void identified(CallerContext context, RouteTable table, String organisation, byte[] body)
			throws IOException {
		ChatRequest request;
		try {
			request = ChatCodec.decodeRequest(new String(body, StandardCharsets.UTF_8));
		}
		catch (JsonParseException ex) {
			context.end(Problem.notRun(ProblemType.BAD_REQUEST, ex.getMessage(), null, 0));
			return;
		}
		Optional<Route> route = table.modelRoute(request.model());
		if (route.isEmpty()) {
			context.end(Problem.notRun(ProblemType.UNKNOWN_ROUTE, "no model route has this name", null, 0));
			return;
		}
		context.rank(route.get().config().rank());
		if (!route.get().allows(organisation)) {
			context.end(Problem.notRun(ProblemType.ROUTE_NOT_ALLOWED, "the organisation may not use this route",
					route.get().config().rank(), 0));
			return;
		}
		ModelConfig model = table.configuration().models().get(route.get().config().model());
		if (model == null) {
			context.end(Problem.notRun(ProblemType.NO_CAPACITY, "the model of the route is not configured",
					route.get().config().rank(), 0));
			return;
		}
		admit(context, table, request, job(context, table, organisation, route.get(), model, request, body));
	}

	private ModelJob job(CallerContext context, RouteTable table, String organisation, Route route, ModelConfig model,
			ChatRequest request, byte[] body) {
		int limit = route.config().maxTokens();
		int maxTokens = (request.maxTokens() > 0) ? Math.min(request.maxTokens(), limit) : limit;
		String version = (model.version() != null) ? model.version() : "";
		String adapter = (route.config().adapter() != null) ? route.config().adapter() : "";
		long betweenTokensTargetMs = table.configuration().ranks().get(route.config().rank()).betweenTokensTargetMs();
		return new ModelJob(context.id(), organisation, route.name(), route.config().model(), version, adapter,
				model.pool(), model.layers(), route.config().rank(), request.prompt(), maxTokens,
				Digests.fingerprint(organisation, route.name(), "", body),
				this.services.clock().millis() + route.config().timeoutMs(), betweenTokensTargetMs);
	}

	private void admit(CallerContext context, RouteTable table, ChatRequest request, ModelJob job) throws IOException {
		long quarantinedMs = this.services.gossip().quarantinedUntilMs(job.fingerprint())
				- this.services.clock().millis();
		if (quarantinedMs > 0) {
			context.end(Problem.notRun(ProblemType.QUARANTINED, "the request crashed backend servers", job.rank(),
					quarantinedMs));
			return;
		}
		Thread thread = Thread.currentThread();
		context.exchange().onDisconnect(thread::interrupt);
		try (Ticket ticket = this.admission.offer(job.pool(), job.rank(), job.organisation(), job.maxCost(),
				job.deadlineMs())) {
			AdmissionResult result = ticket.await();
			if (!(result instanceof AdmissionResult.Started)) {
				context.end(AdmissionProblems.of(result, job.rank()));
				return;
			}
			this.services.metrics().admissionWait(job.rank(), context.elapsedMs());
			run(context, table, request, job, ticket);
		}
		catch (InterruptedException ex) {
			context.ended("cut", "the caller left the queue");
		}
	}

	private void run(CallerContext context, RouteTable table, ChatRequest request, ModelJob job, Ticket ticket)
			throws IOException {
		AnswerStream answer = new AnswerStream(context, job, request.stream(), this.services.metrics(),
				this.services.clock().millis() / MS_PER_S);
		ModelRun run = new ModelRun(this.services, job, answer);
		RunResult result = run.run();
		ticket.used((double) run.emitted().size() * job.layerCount());
		switch (result) {
			case RunResult.Completed completed -> {
				answer.complete(run.emitted(), completed.reason());
				context.ended("completed", run.emitted().size() + " tokens");
				countTarget(table, job, answer);
			}
			case RunResult.Failed failed -> answer.fail(failed.problem());
			case RunResult.Cut cut -> {
				context.ended("cut", "the caller left after " + run.emitted().size() + " tokens");
				context.exchange().abort();
			}
		}
	}

	private void countTarget(RouteTable table, ModelJob job, AnswerStream answer) {
		Rank rank = job.rank();
		RankConfig targets = table.configuration().ranks().get(rank);
		if (targets != null && answer.isWithin(targets.firstTokenTargetMs(), targets.betweenTokensTargetMs())) {
			this.services.metrics().withinTarget(rank, job.organisation());
		}
	}

}
