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
 * Handles plain-service calls. Non-idempotent calls with an idempotency key are claimed
 * before they run.
 */
final class ServiceHandler {

	private static final int MAX_KEY_LENGTH = 200;

	/** Admission cost of a call. */
	private static final double CALL_COST = 1;

	private final ServiceExecutor executor;

	private final Claims claims;

	private final AdmissionController admission;

	private final RequestAuthenticator authenticator;

	private final Gossip gossip;

	private final Metrics metrics;

	private final InstantSource clock;

	ServiceHandler(ServiceExecutor executor, ClaimLedger ledger, String hostId, AdmissionController admission,
			RequestAuthenticator authenticator, Gossip gossip, Metrics metrics, InstantSource clock) {
		this.executor = executor;
		this.claims = new Claims(ledger, hostId);
		this.admission = admission;
		this.authenticator = authenticator;
		this.gossip = gossip;
		this.metrics = metrics;
		this.clock = clock;
	}

	void handle(CallerContext context, RouteTable table) throws IOException {
		this.authenticator.authenticateAndHandle(context, table,
				(organisation, body) -> handleAuthenticated(context, table, organisation, body));
	}

	private void handleAuthenticated(CallerContext context, RouteTable table, String organisation, byte[] body)
			throws IOException {
		String path = context.exchange().path();
		if (hasDotSegment(path)) {
			context.respondWithProblem(Problem.notRun(ProblemType.BAD_REQUEST, "the path has dot segments", null, 0));
			return;
		}
		Optional<Route> route = table.serviceRoute(context.exchange().method(), path);
		if (route.isEmpty()) {
			context.respondWithProblem(
					Problem.notRun(ProblemType.UNKNOWN_ROUTE, "no route matches method and path", null, 0));
			return;
		}
		context.rank(route.get().config().rank());
		if (!route.get().allows(organisation)) {
			context.respondWithProblem(Problem.notRun(ProblemType.ROUTE_NOT_ALLOWED,
					"the organisation may not use this route", route.get().config().rank(), 0));
			return;
		}
		String key = context.exchange().header("Idempotency-Key").orElse("");
		if (key.length() > MAX_KEY_LENGTH) {
			context.respondWithProblem(Problem.notRun(ProblemType.BAD_REQUEST,
					"header Idempotency-Key exceeds " + MAX_KEY_LENGTH + " characters", route.get().config().rank(),
					0));
			return;
		}
		admit(context, table, createJob(context, organisation, route.get(), key, body));
	}

	// The server could resolve a dot segment, also a percent-encoded one, to a path of
	// another route.
	private static boolean hasDotSegment(String path) {
		String decoded = path.replaceAll("(?i)%2e", ".").replaceAll("(?i)%2f|%5c|\\\\", "/");
		for (String segment : decoded.split("/")) {
			if (segment.equals(".") || segment.equals("..")) {
				return true;
			}
		}
		return false;
	}

	private ServiceJob createJob(CallerContext context, String organisation, Route route, String key, byte[] body) {
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
		long quarantineRemainingMs = this.gossip.quarantinedUntilMs(job.fingerprint()) - this.clock.millis();
		if (quarantineRemainingMs > 0) {
			context.respondWithProblem(Problem.notRun(ProblemType.QUARANTINED, "the request crashed backend servers",
					job.rank(), quarantineRemainingMs));
			return;
		}
		context.exchange().onDisconnect(Thread.currentThread()::interrupt);
		try (Ticket ticket = this.admission.offer(job.pool(), job.rank(), job.organisation(), CALL_COST,
				job.deadlineMs())) {
			AdmissionResult result = ticket.await();
			if (!(result instanceof AdmissionResult.Started)) {
				context.respondWithProblem(AdmissionProblems.of(result, job.rank()));
				return;
			}
			this.metrics.admissionWait(job.rank(), context.elapsedMs());
			ticket.recordCost(CALL_COST);
			execute(context, table, job);
		}
		catch (InterruptedException ex) {
			context.recordOutcome("cut", "the caller left the queue");
		}
	}

	private void execute(CallerContext context, RouteTable table, ServiceJob job) throws IOException {
		if (job.idempotent()) {
			respond(context, table, job, this.executor.execute(job));
			return;
		}
		// A disconnect of the caller must not interrupt a non-idempotent call: its
		// outcome would be unknown.
		UninterruptibleTask.run(() -> executeNonIdempotent(context, table, job));
	}

	private void executeNonIdempotent(CallerContext context, RouteTable table, ServiceJob job) throws IOException {
		if (!job.needsClaim()) {
			respond(context, table, job, this.executor.execute(job));
			return;
		}
		Claims.Claim claim = this.claims.claim(job);
		if (claim.problem() != null) {
			context.respondWithProblem(claim.problem());
			return;
		}
		if (claim.earlierResponse() != null) {
			context.exchange().addResponseHeader("Medlardrum-Replayed", "true");
			respond(context, table, job, new Outcome.Completed<>(claim.earlierResponse()));
			return;
		}
		Outcome<ServiceResponse> outcome = this.executor.execute(job);
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
				context.recordOutcome("completed", "status " + completed.value().status());
				recordResponseTime(context, table, job);
			}
			case Outcome.NotRun<ServiceResponse> notRun ->
				context.respondWithProblem(Problem.notRun(ProblemType.NO_CAPACITY, notRun.reason(), job.rank(),
						Math.max(CallerContext.MIN_RETRY_AFTER_MS, notRun.retryAfterMs())));
			case Outcome.MayHaveRun<ServiceResponse> unclear -> context.respondWithProblem(Problem.mayHaveRun(
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

	private void recordResponseTime(CallerContext context, RouteTable table, ServiceJob job) {
		double elapsedMs = context.elapsedMs();
		this.metrics.firstToken(job.rank(), elapsedMs);
		RankConfig targets = table.configuration().ranks().get(job.rank());
		if (targets != null && elapsedMs <= targets.firstTokenTargetMs()) {
			this.metrics.withinTarget(job.rank(), job.organisation());
		}
	}

}
