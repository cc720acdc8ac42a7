package org.medlardrum.coordination.claims;

import com.google.gson.annotations.SerializedName;

/**
 * Kind of a line in a segment.
 */
enum EntryKind {

	/** The attempt may run. */
	@SerializedName("c")
	CLAIMED,

	/** The attempt ran and its response is recorded. */
	@SerializedName("o")
	COMPLETED,

	/** The attempt did not run and never will. */
	@SerializedName("r")
	RELEASED,

	/** The segment takes no more entries. */
	@SerializedName("s")
	SEALED

}
