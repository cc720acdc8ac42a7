package org.medlardrum.state.config;

import com.google.gson.annotations.SerializedName;

/**
 * Kind of a finding on a valid configuration.
 */
public enum ConfigSeverity {

	/** An entry without effect, or one that contradicts another. */
	@SerializedName("warning")
	WARNING,

	/** A difference from another configuration. */
	@SerializedName("change")
	CHANGE

}
