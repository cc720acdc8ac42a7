package org.medlardrum.entry.internal.model;

/**
 * Decides what becomes of a silent attempt.
 */
interface SilenceHandler {

	/**
	 * Probes the engines of the attempt's chain. Frames may arrive meanwhile.
	 */
	void probe();

	/**
	 * Decides after a probe during which nothing arrived.
	 * @param silentMs time since the last frame or the start
	 * @return the result that ends the attempt, {@code null} to keep it
	 */
	AttemptResult decide(long silentMs);

}
