package org.medlardrum.coordination.orders;

/**
 * Result of sending an order to an engine.
 */
public sealed interface OrderResult {

	/**
	 * The engine took the order.
	 */
	record Accepted() implements OrderResult {
	}

	/**
	 * The engine has seen a larger fencing token. Another host issues orders now.
	 *
	 * @param highestToken largest token seen by the engine, 0 if it did not tell
	 */
	record Fenced(long highestToken) implements OrderResult {
	}

	/**
	 * The engine refused the order for another reason.
	 *
	 * @param reason short technical reason
	 */
	record Refused(String reason) implements OrderResult {
	}

	/**
	 * No byte of the order reached the engine.
	 *
	 * @param reason short technical reason
	 */
	record NotSent(String reason) implements OrderResult {
	}

	/**
	 * The answer was lost. The engine may have taken the order.
	 *
	 * @param reason short technical reason
	 */
	record Unknown(String reason) implements OrderResult {
	}

}
