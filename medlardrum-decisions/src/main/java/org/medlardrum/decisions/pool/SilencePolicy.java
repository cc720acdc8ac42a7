package org.medlardrum.decisions.pool;

import org.medlardrum.decisions.routing.SendDenial;

/**
 * Decides when another chain is tried for a silent stream. A sound engine may be silent
 * for a second or more and go on, so silence never ends an attempt: it goes on beside its
 * successor until one of them sends an event.
 */
public final class SilencePolicy {

	/**
	 * Number of failed successors up to which the next one is tried at once. Each one
	 * draws on the retry budget.
	 */
	private static final int MAX_IMMEDIATE_RETRIES = 2;

	private SilencePolicy() {
	}

	/**
	 * Decides what is done about a silent attempt. While the cause is unknown, a stream
	 * that has begun waits for the report of its first engine, since in an overload all
	 * chains are slow.
	 * @param attempt the attempt
	 * @return the decision
	 */
	public static SilenceDecision decide(SilentAttempt attempt) {
		if (attempt.awaitsOther()) {
			return new SilenceDecision.Keep("successor-pending");
		}
		if (attempt.denial().isPresent()) {
			return new SilenceDecision.Keep(attempt.denial().map(SendDenial::label).get());
		}
		if (attempt.faultKnown()) {
			return new SilenceDecision.TryAnyChain();
		}
		if (attempt.withoutReport() && attempt.gapMs() < attempt.usualGapMs()) {
			return new SilenceDecision.Keep("usual-gap");
		}
		return (attempt.begun() && !attempt.withoutReport() && attempt.gapMs() >= StreamStallDetector.PROBE_AFTER_MS)
				? new SilenceDecision.Keep("awaits-report") : new SilenceDecision.TrySpareChain();
	}

	/**
	 * Returns whether another chain is tried at once when the successor of an attempt has
	 * failed.
	 * @param faultKnown whether a server is known that the attempt's chain waits for
	 * @param failedSuccessors number of successors that have failed during the silence
	 * @return {@code false} to wait for the next check
	 */
	public static boolean triesAgainAtOnce(boolean faultKnown, int failedSuccessors) {
		return faultKnown && failedSuccessors <= MAX_IMMEDIATE_RETRIES;
	}

	/**
	 * Returns the time until the next check of an attempt whose chain waits for a known
	 * server. Chains free up all the time, so the search is frequent at first.
	 * @param decision the last decision
	 * @param searchedForMs time since the server became known, in milliseconds
	 * @param failedSuccessors number of successors that have failed during the silence
	 * @return time until the next check, in milliseconds
	 */
	public static long nextCheckMs(SilenceDecision decision, long searchedForMs, int failedSuccessors) {
		return switch (decision) {
			case SilenceDecision.TryAnyChain any when failedSuccessors == 0
					&& searchedForMs < StreamLimits.MAX_RESUME_SEARCH_MS ->
				StreamLimits.SEARCH_RETRY_INTERVAL_MS;
			case SilenceDecision.TryAnyChain any -> StreamLimits.PROBE_INTERVAL_MS;
			case SilenceDecision.TrySpareChain spare -> StreamLimits.PROBE_INTERVAL_MS;
			case SilenceDecision.Keep keep -> StreamLimits.PROBE_INTERVAL_MS;
		};
	}

}
