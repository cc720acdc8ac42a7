package org.medlardrum.coordination.orders;

/**
 * Result of sending an order to an engine.
 */
public sealed interface OrderResult {

	/**
	 * The engine accepted the order.
	 */
	record Accepted() implements OrderResult {
	}

	/**
	 * The engine has seen a higher fencing token, so another host issues orders now.
	 *
	 * @param highestToken highest token that the engine has seen, 0 if it did not report
	 * it
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
	 * The response was lost. The engine may have accepted the order.
	 *
	 * @param reason short technical reason
	 */
	record Unknown(String reason) implements OrderResult {
	}

}
