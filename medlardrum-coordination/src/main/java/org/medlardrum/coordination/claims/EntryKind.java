package org.medlardrum.coordination.claims;

import com.google.gson.annotations.SerializedName;

/**
 * Kind of a line in a segment.
 */
enum EntryKind {

	/** The attempt may execute the request. */
	@SerializedName("c")
	CLAIMED,

	/** The attempt executed the request and its response is recorded. */
	@SerializedName("o")
	COMPLETED,

	/** The attempt did not execute the request and never will. */
	@SerializedName("r")
	RELEASED,

	/** No more entries are appended to the segment. */
	@SerializedName("s")
	SEALED

}
