package org.medlardrum.state;

import com.google.gson.annotations.SerializedName;

/**
 * Kind of a backend server.
 */
public enum BackendServerKind {

	/** A model engine that holds a range of layers. */
	@SerializedName("engine")
	ENGINE,

	/** A plain HTTP service. */
	@SerializedName("service")
	SERVICE

}
