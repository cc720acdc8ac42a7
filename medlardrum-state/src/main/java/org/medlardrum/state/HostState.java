package org.medlardrum.state;

import com.google.gson.annotations.SerializedName;

/**
 * State of a host as the platform's host list reports it.
 */
public enum HostState {

	/** The host accepts requests. */
	@SerializedName("live")
	LIVE,

	/** The host shuts down gracefully and accepts no new requests. */
	@SerializedName("leaving")
	LEAVING

}
