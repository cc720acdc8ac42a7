package org.medlardrum.state.routing;

/**
 * What a route's requests allow after a failure.
 */
public enum TrafficKind {

	/** Idempotent; may run more than once. */
	SAFE,

	/** Not idempotent; runs at most once. */
	UNSAFE,

	/** Answered by an event stream. Idempotent only if the route resumes streams. */
	STREAMING

}
