package org.medlardrum.decisions;

import java.util.List;

import org.medlardrum.state.Chain;

/**
 * Result of choosing a chain. The candidates explain the choice to operators.
 */
public sealed interface ChainDecision {

	/**
	 * Returns the engines that were judged; engines of other models are not listed.
	 * @return the candidates, a bounded number
	 */
	List<CandidateScore> candidates();

	/**
	 * A chain that covers every layer exactly once.
	 *
	 * @param chain the chain
	 * @param candidates engines that were judged
	 */
	record Chosen(Chain chain, List<CandidateScore> candidates) implements ChainDecision {

		public Chosen {
			candidates = List.copyOf(candidates);
		}

	}

	/**
	 * No usable engines cover the model.
	 *
	 * @param reason short technical reason
	 * @param retryAfterMs time after which a retry can help
	 * @param candidates engines that were judged
	 */
	record NoChain(String reason, long retryAfterMs, List<CandidateScore> candidates) implements ChainDecision {

		public NoChain {
			candidates = List.copyOf(candidates);
		}

	}

}
