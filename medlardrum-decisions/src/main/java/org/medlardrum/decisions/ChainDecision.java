package org.medlardrum.decisions;

import java.util.List;

import org.medlardrum.state.Chain;

/**
 * Result of planning a chain. The candidates explain the decision to operators.
 */
public sealed interface ChainDecision {

	/**
	 * Returns the engines that were evaluated; engines of other models are not listed.
	 * @return the candidates; their number is bounded
	 */
	List<CandidateScore> candidates();

	/**
	 * A chain that covers every layer exactly once.
	 *
	 * @param chain the chain
	 * @param candidates engines that were evaluated
	 */
	record Chosen(Chain chain, List<CandidateScore> candidates) implements ChainDecision {

		public Chosen {
			candidates = List.copyOf(candidates);
		}

	}

	/**
	 * The usable engines do not cover all layers of the model.
	 *
	 * @param reason short technical reason; part of recorded traces
	 * @param retryAfterMs time after which a retry can succeed, in milliseconds
	 * @param candidates engines that were evaluated
	 */
	record NoChain(String reason, long retryAfterMs, List<CandidateScore> candidates) implements ChainDecision {

		public NoChain {
			candidates = List.copyOf(candidates);
		}

	}

}
