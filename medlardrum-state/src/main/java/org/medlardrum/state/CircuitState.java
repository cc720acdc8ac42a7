package org.medlardrum.state;

/**
 * State of a circuit breaker.
 */
public enum CircuitState {

	/** Requests pass. */
	CLOSED,

	/** Requests are rejected. */
	OPEN,

	/** A single probe request passes. */
	HALF_OPEN

}
