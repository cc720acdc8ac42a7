package org.medlardrum.entry.internal.settings;

/**
 * Decision policy of an entry host.
 */
public enum Policy {

	/** Admission by rank and fair share, planned chains, and retries. */
	FAIR,

	/**
	 * For comparison measurements only: first-come-first-served admission, round-robin
	 * chains, and a single attempt per request.
	 */
	BASELINE

}
