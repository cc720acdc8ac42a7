package org.medlardrum.entry.internal.http;

import java.io.IOException;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.medlardrum.coordination.claims.ClaimLedger;
import org.medlardrum.coordination.gossip.Gossip;
import org.medlardrum.entry.internal.admission.AdmissionController;
import org.medlardrum.entry.internal.admission.AdmissionResult;
import org.medlardrum.entry.internal.admission.Ticket;
import org.medlardrum.entry.internal.host.Metrics;
import org.medlardrum.entry.internal.route.Digests;
import org.medlardrum.entry.internal.route.Route;
import org.medlardrum.entry.internal.route.RouteTable;
import org.medlardrum.entry.internal.service.ServiceExecutor;
import org.medlardrum.entry.internal.service.ServiceJob;
import org.medlardrum.protocol.problem.Problem;
import org.medlardrum.protocol.problem.ProblemType;
import org.medlardrum.state.Outcome;
import org.medlardrum.state.config.RankConfig;
import org.medlardrum.transport.ServiceRequest;
import org.medlardrum.transport.ServiceResponse;

/**
 * Handles calls of plain services.
 */
final class ServiceHandler {

	private static final int MAX_KEY_LENGTH = 200;

	private final ServiceExecutor runner;

	private final Claims claims;

	private final AdmissionController admission;

	private final Identification identification;

	private final Gossip gossip;

	private final Metrics metrics;

	private final InstantSource clock;

	ServiceHandler(ServiceExecutor runner, ClaimLedger ledger, String hostId, AdmissionController admission,
			Identification identification, Gossip gossip, Metrics metrics, InstantSource clock) {
		this.runner = runner;
		this.claims = new Claims(ledger, hostId);
		this.admission = admission;
		this.identification = identification;
		this.gossip = gossip;
		this.metrics = metrics;
		this.clock = clock;
	}

	void handle(CallerContext context, RouteTable table) throws IOException {
		this.identification.withBody(context, table,
				(organisation, body) -> identified(context, table, organisation, body));
	}

	private void identified(CallerContext context, RouteTable table, String organisation, byte[] body)
			throws IOException {
		String path = context.exchange().path();
		if (isAmbiguous(path)) {
			context.end(Problem.notRun(ProblemType.BAD_REQUEST, "the path has dot segments", null, 0));
			return;
		}
		Optional<Route> route = table.serviceRoute(context.exchange().method(), path);
		if (route.isEmpty()) {
			context.end(Problem.notRun(ProblemType.UNKNOWN_ROUTE, "no route matches method and path", null, 0));
			return;
		}
		context.rank(route.get().config().rank());
		if (!route.get().allows(organisation)) {
			context.end(Problem.notRun(ProblemType.ROUTE_NOT_ALLOWED, "the organisation may not use this route",
					route.get().config().rank(), 0));
			return;
		}
		String key = context.exchange().header("Idempotency-Key").orElse("");
		if (key.length() > MAX_KEY_LENGTH) {
			context.end(Problem.notRun(ProblemType.BAD_REQUEST,
					"header Idempotency-Key exceeds " + MAX_KEY_LENGTH + " characters", route.get().config().rank(),
					0));
			return;
		}
		admit(context, table, job(context, organisation, route.get(), key, body));
	}

	// A dot segment could reach a path of another route on the server.
	private static boolean isAmbiguous(String path) {
		String decoded = path.replaceAll("(?i)%2e", ".").replaceAll("(?i)%2f|%5c|\\\\", "/");
		for (String segment : decoded.split("/")) {
			if (segment.equals(".") || segment.equals("..")) {
				return true;
			}
		}
		return false;
	}

	private ServiceJob job(CallerContext context, String organisation, Route route, String key, byte[] body) {
		String method = context.exchange().method();
		String target = context.exchange().target();
		List<String> headers = new ArrayList<>(HeaderFilter.forward(context.exchange().headers()));
		headers.addAll(List.of("X-Request-Id", context.id(), "Medlardrum-Organisation", organisation, "Medlardrum-Rank",
				route.config().rank().wireName()));
		return new ServiceJob(context.id(), organisation, route.name(), route.config().pool(), route.config().rank(),
				route.config().idempotent(), key,
				Digests.fingerprint(organisation, route.name(), method + " " + target, body),
				new ServiceRequest(method, target, headers, body), route.config().timeoutMs(),
				this.clock.millis() + route.config().timeoutMs());
	}

	private void admit(CallerContext context, RouteTable table, ServiceJob job) throws IOException {
		long quarantinedMs = this.gossip.quarantinedUntilMs(job.fingerprint()) - this.clock.millis();
		if (quarantinedMs > 0) {
			context.end(Problem.notRun(ProblemType.QUARANTINED, "the request crashed backend servers", job.rank(),
					quarantinedMs));
			return;
		}
		context.exchange().onDisconnect(Thread.currentThread()::interrupt);
		try (Ticket ticket = this.admission.offer(job.pool(), job.rank(), job.organisation(), 1, job.deadlineMs())) {
			AdmissionResult result = ticket.await();
			if (!(result instanceof AdmissionResult.Started)) {
				context.end(AdmissionProblems.of(result, job.rank()));
				return;
			}
			this.metrics.admissionWait(job.rank(), context.elapsedMs());
			ticket.used(1);
			run(context, table, job);
		}
		catch (InterruptedException ex) {
			context.ended("cut", "the caller left the queue");
		}
	}

	private void run(CallerContext context, RouteTable table, ServiceJob job) throws IOException {
		if (job.idempotent()) {
			respond(context, table, job, this.runner.run(job));
			return;
		}
		// A caller that leaves must not make the outcome of a non-idempotent call
		// unknown.
		Detached.run(() -> runOnce(context, table, job));
	}

	private void runOnce(CallerContext context, RouteTable table, ServiceJob job) throws IOException {
		if (!job.needsClaim()) {
			respond(context, table, job, this.runner.run(job));
			return;
		}
		Claims.Claim claim = this.claims.claim(job);
		if (claim.problem() != null) {
			context.end(claim.problem());
			return;
		}
		if (claim.earlierResponse() != null) {
			context.exchange().addResponseHeader("Medlardrum-Replayed", "true");
			respond(context, table, job, new Outcome.Completed<>(claim.earlierResponse()));
			return;
		}
		Outcome<ServiceResponse> outcome = this.runner.run(job);
		try {
			respond(context, table, job, outcome);
		}
		finally {
			this.claims.record(job, claim, outcome);
		}
	}

	private void respond(CallerContext context, RouteTable table, ServiceJob job, Outcome<ServiceResponse> outcome)
			throws IOException {
		switch (outcome) {
			case Outcome.Completed<ServiceResponse> completed -> {
				send(context, completed.value());
				context.ended("completed", "status " + completed.value().status());
				countTarget(context, table, job);
			}
			case Outcome.NotRun<ServiceResponse> notRun -> context.end(Problem.notRun(ProblemType.NO_CAPACITY,
					notRun.reason(), job.rank(), Math.max(1000, notRun.retryAfterMs())));
			case Outcome.MayHaveRun<ServiceResponse> unclear -> context.end(Problem.mayHaveRun(
					(this.clock.millis() >= job.deadlineMs()) ? ProblemType.TIMED_OUT : ProblemType.BACKEND_FAILED,
					"the answer was lost: " + unclear.reason(), job.rank()));
		}
	}

	private void send(CallerContext context, ServiceResponse response) throws IOException {
		List<String> headers = HeaderFilter.forward(response.headers());
		String contentType = null;
		for (int i = 0; i + 1 < headers.size(); i += 2) {
			if (headers.get(i).equalsIgnoreCase("Content-Type")) {
				contentType = headers.get(i + 1);
			}
			else {
				context.exchange().addResponseHeader(headers.get(i), headers.get(i + 1));
			}
		}
		context.exchange().respond(response.status(), contentType, response.body());
	}

	private void countTarget(CallerContext context, RouteTable table, ServiceJob job) {
		double elapsedMs = context.elapsedMs();
		this.metrics.firstToken(job.rank(), elapsedMs);
		RankConfig targets = table.configuration().ranks().get(job.rank());
		if (targets != null && elapsedMs <= targets.firstTokenTargetMs()) {
			this.metrics.withinTarget(job.rank(), job.organisation());
		}
	}

}
