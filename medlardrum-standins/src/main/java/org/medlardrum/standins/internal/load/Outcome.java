package org.medlardrum.standins.internal.load;

/**
 * Outcome of a request as its caller sees it.
 */
enum Outcome {

	/** The complete and correct response arrived. */
	COMPLETE,

	/** A problem document arrived instead of a response. */
	REFUSED,

	/** The response started and ended early, with or without an error event. */
	INCOMPLETE,

	/** A complete response with the wrong content arrived. */
	WRONG,

	/** No response arrived. */
	FAILED

}
