package org.medlardrum.state.config;

import com.google.gson.annotations.SerializedName;

/**
 * Kind of the destination of a route.
 */
public enum RouteKind {

	/** A chain of engines. */
	@SerializedName("model")
	MODEL,

	/** A plain service. */
	@SerializedName("service")
	SERVICE

}
