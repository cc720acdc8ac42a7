package org.medlardrum.entry.internal.settings;

/**
 * Which decisions the host takes.
 */
public enum Policy {

	/** Ranks, fair shares, planned chains and retries. */
	FAIR,

	/**
	 * For comparison only: first come first served, round robin, one attempt.
	 */
	BASELINE

}
