package org.medlardrum.decisions.pool;

import java.util.Set;

/**
 * How a chain search weighs hops between availability zones.
 */
sealed interface ZoneCrossings {

	/** The time on the link is one cost among the others. */
	record Weighed() implements ZoneCrossings {
	}

	/**
	 * A chain with fewer crossings is preferred whatever it costs, so that a chain within
	 * a zone is preferred to any other.
	 *
	 * @param refusedLinks links that must not be crossed, by
	 * {@link org.medlardrum.state.routing.ModelPool#zonePairKey}
	 */
	record Fewest(Set<String> refusedLinks) implements ZoneCrossings {
	}

}
