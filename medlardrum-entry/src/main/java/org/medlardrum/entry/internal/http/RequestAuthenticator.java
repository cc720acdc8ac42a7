package org.medlardrum.entry.internal.http;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.medlardrum.entry.internal.route.RouteTable;
import org.medlardrum.protocol.problem.Problem;
import org.medlardrum.protocol.problem.ProblemType;
import org.medlardrum.state.config.OrganisationConfig;
import org.medlardrum.transport.server.BodyResult;

/**
 * Does the steps that all requests start with: identifies the organisation by its key,
 * enforces its limit on requests in flight and reads the body. Thread-safe.
 */
public final class RequestAuthenticator {

	private static final String BEARER = "bearer ";

	private static final long IN_FLIGHT_RETRY_MS = 1000;

	private final Map<String, AtomicInteger> inFlight = new ConcurrentHashMap<>();

	/**
	 * Identifies the organisation, acquires one of its in-flight slots, reads the body
	 * and handles the request. A request that fails one of these steps is refused.
	 * @param context the request
	 * @param table the route table in force
	 * @param handler handles the authenticated request
	 * @throws IOException if the caller disconnected
	 */
	void authenticateAndHandle(CallerContext context, RouteTable table, AuthenticatedHandler handler)
			throws IOException {
		Optional<String> organisation = authenticate(context, table);
		if (organisation.isEmpty() || !acquireInFlightSlot(context, table, organisation.get())) {
			return;
		}
		try {
			byte[] body = readBody(context, table);
			if (body != null) {
				handler.handle(organisation.get(), body);
			}
		}
		finally {
			releaseInFlightSlot(organisation.get());
		}
	}

	/**
	 * Identifies the organisation by the key's SHA-256 digest.
	 * @param context the request
	 * @param table the route table in force
	 * @return name of the organisation, empty when the request was refused
	 * @throws IOException if the caller disconnected
	 */
	private Optional<String> authenticate(CallerContext context, RouteTable table) throws IOException {
		String authorization = context.exchange().header("Authorization").orElse("");
		String key = (authorization.regionMatches(true, 0, BEARER, 0, BEARER.length()))
				? authorization.substring(BEARER.length()).trim() : null;
		Optional<String> organisation = table.organisation(key);
		if (organisation.isEmpty()) {
			context.respondWithProblem(Problem.notRun(ProblemType.UNKNOWN_KEY,
					(key != null) ? "the key belongs to no organisation" : "header Authorization has no bearer key",
					null, 0));
			return organisation;
		}
		context.organisation(organisation.get());
		return organisation;
	}

	/**
	 * Reads the body.
	 * @param context the request
	 * @param table the route table in force
	 * @return the body, {@code null} when the request was refused
	 * @throws IOException if the caller disconnected
	 */
	private byte[] readBody(CallerContext context, RouteTable table) throws IOException {
		switch (context.exchange().readBody(table.configuration().limits().maxBodyBytes())) {
			case BodyResult.Complete complete -> {
				return complete.bytes();
			}
			case BodyResult.TooLarge tooLarge -> context.respondWithProblem(Problem.notRun(ProblemType.BODY_TOO_LARGE,
					"the body exceeds " + tooLarge.maxBytes() + " bytes", null, 0));
			case BodyResult.Incomplete incomplete -> context.respondWithProblem(Problem
				.notRun(ProblemType.INCOMPLETE_BODY, "the body is incomplete: " + incomplete.reason(), null, 0));
		}
		return null;
	}

	/**
	 * Acquires one of the organisation's in-flight slots. A limit of 0 or less means no
	 * limit.
	 * @param context the request
	 * @param table the route table in force
	 * @param organisation name of the organisation
	 * @return whether a slot was acquired; otherwise the request was refused
	 * @throws IOException if the caller disconnected
	 */
	private boolean acquireInFlightSlot(CallerContext context, RouteTable table, String organisation)
			throws IOException {
		OrganisationConfig config = table.configuration().organisations().get(organisation);
		AtomicInteger count = this.inFlight.computeIfAbsent(organisation, (name) -> new AtomicInteger());
		int limit = (config != null) ? config.maxInFlight() : 0;
		if (count.incrementAndGet() <= limit || limit <= 0) {
			return true;
		}
		count.decrementAndGet();
		context.respondWithProblem(Problem.notRun(ProblemType.TOO_MANY_IN_FLIGHT,
				"the organisation has " + limit + " requests in flight on this host", null, IN_FLIGHT_RETRY_MS));
		return false;
	}

	/**
	 * Releases a slot that {@link #acquireInFlightSlot} acquired.
	 * @param organisation name of the organisation
	 */
	private void releaseInFlightSlot(String organisation) {
		this.inFlight.get(organisation).decrementAndGet();
	}

}
