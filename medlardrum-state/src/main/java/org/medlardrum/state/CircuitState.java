package org.medlardrum.state;

/**
 * State of a circuit breaker.
 */
public enum CircuitState {

	/** Work is let through. */
	CLOSED,

	/** Work is refused. */
	OPEN,

	/** A single probe is let through. */
	HALF_OPEN

}
