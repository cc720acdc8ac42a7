package org.medlardrum.state;

import com.google.gson.annotations.SerializedName;

/**
 * Rank of a request. Lower ordinals are served first.
 */
public enum Rank {

	/** Work with a caller waiting under time pressure. */
	@SerializedName("urgent")
	URGENT,

	/** Interactive work without time pressure. */
	@SerializedName("standard")
	STANDARD,

	/** Work that can wait, such as nightly digests. */
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
