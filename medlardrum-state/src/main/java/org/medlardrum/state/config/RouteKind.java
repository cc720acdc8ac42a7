package org.medlardrum.state.config;

import com.google.gson.annotations.SerializedName;

/**
 * What a route leads to.
 */
public enum RouteKind {

	/** A chain of engines. */
	@SerializedName("model")
	MODEL,

	/** A plain service. */
	@SerializedName("service")
	SERVICE

}
