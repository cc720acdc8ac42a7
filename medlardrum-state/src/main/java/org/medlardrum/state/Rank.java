package org.medlardrum.state;

import com.google.gson.annotations.SerializedName;

/**
 * Priority class of a request. Ranks with lower ordinals are served first.
 */
public enum Rank {

	/** Requests whose caller waits under time pressure. */
	@SerializedName("urgent")
	URGENT,

	/** Interactive requests without time pressure. */
	@SerializedName("standard")
	STANDARD,

	/** Requests that can wait, such as nightly digests. */
	@SerializedName("background")
	BACKGROUND;

	/**
	 * Returns the name used in configuration, metrics and messages.
	 * @return the lower-case name
	 */
	public String wireName() {
		return name().toLowerCase(java.util.Locale.ROOT);
	}

}
