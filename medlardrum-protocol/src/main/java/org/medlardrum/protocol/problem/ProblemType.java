package org.medlardrum.protocol.problem;

import java.util.Locale;

/**
 * The fixed list of problem types. Names and statuses are part of the API.
 */
public enum ProblemType {

	/** The request is malformed. */
	BAD_REQUEST(400, "Malformed request"),

	/** The key is missing or belongs to no organisation. */
	UNKNOWN_KEY(401, "Unknown organisation key"),

	/** The organisation may not use the route. */
	ROUTE_NOT_ALLOWED(403, "Route not allowed"),

	/** No route matches the request. */
	UNKNOWN_ROUTE(404, "Unknown route"),

	/** The body did not arrive in time, or the connection ended within it. */
	INCOMPLETE_BODY(408, "Incomplete body"),

	/** A request with the same idempotency key is in progress. */
	IN_PROGRESS(409, "Request in progress"),

	/** The outcome of an earlier request with the same idempotency key is unknown. */
	OUTCOME_UNKNOWN(409, "Outcome unknown"),

	/** The body exceeds the limit. */
	BODY_TOO_LARGE(413, "Body too large"),

	/** The idempotency key was used with another request. */
	KEY_REUSED(422, "Idempotency key reused"),

	/** The organisation has too many requests in progress. */
	TOO_MANY_IN_FLIGHT(429, "Too many requests in flight"),

	/** The entry host failed unexpectedly. */
	INTERNAL(500, "Internal error"),

	/** A backend server failed while it executed the request. */
	BACKEND_FAILED(502, "Backend server failed"),

	/**
	 * The queue is full, or the expected wait exceeds the limit of the rank or of the
	 * request.
	 */
	OVERLOADED(503, "Overloaded"),

	/** No backend servers can execute the request now. */
	NO_CAPACITY(503, "No backend servers available"),

	/** The request has crashed backend servers earlier. */
	QUARANTINED(503, "Request in quarantine"),

	/** Claims cannot be recorded. */
	CLAIMS_UNAVAILABLE(503, "Claims unavailable"),

	/** The entry host is draining. */
	DRAINING(503, "Entry host draining"),

	/** The entry host has no configuration yet. */
	NOT_READY(503, "Entry host not ready"),

	/** The timeout of the route expired. */
	TIMED_OUT(504, "Timed out");

	private final int status;

	private final String title;

	ProblemType(int status, String title) {
		this.status = status;
		this.title = title;
	}

	/**
	 * Returns the HTTP status.
	 * @return the status
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the title.
	 * @return the title
	 */
	public String title() {
		return this.title;
	}

	/**
	 * Returns the type URI, which ends with the name in lower case and with hyphens.
	 * @return the URI, for example {@code urn:medlardrum:problem:bad-request}
	 */
	public String uri() {
		return "urn:medlardrum:problem:" + name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
