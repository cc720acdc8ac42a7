package org.medlardrum.state.routing;

/**
 * Kind of a route's requests, which decides whether they may be retried after a failure.
 */
public enum TrafficKind {

	/** Idempotent; may run more than once. */
	SAFE,

	/** Not idempotent; runs at most once. */
	UNSAFE,

	/** The response is an event stream. Idempotent only if the route resumes streams. */
	STREAMING

}
