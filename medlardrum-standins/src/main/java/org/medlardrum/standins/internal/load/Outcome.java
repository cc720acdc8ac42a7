package org.medlardrum.standins.internal.load;

/**
 * Outcome of a request as its caller sees it.
 */
enum Outcome {

	/** The complete and correct response arrived. */
	COMPLETE,

	/**
	 * The response has the HTTP status 300 or above, with or without a problem document.
	 */
	REFUSED,

	/**
	 * The response started but ended early, with or without an error event, or could not
	 * be read.
	 */
	INCOMPLETE,

	/** A complete response with the wrong content arrived. */
	WRONG,

	/** No response arrived. */
	FAILED

}
