package org.medlardrum.decisions.memory;

/**
 * One of those for whom a host holds bytes, and who may use a share of its budget only.
 *
 * @param kind what it is
 * @param name its name
 */
public record BytesOwner(Kind kind, String name) {

	/**
	 * Kind of owner, with its share of the budget. The shares of one kind may add up to
	 * more than the budget, so that a single owner can use more than an equal part.
	 */
	public enum Kind {

		/** A server that sends responses. */
		SERVER(0.25),

		/** A service whose servers send responses. */
		SERVICE(0.5);

		private final double share;

		Kind(double share) {
			this.share = share;
		}

		double share() {
			return this.share;
		}

	}

}
