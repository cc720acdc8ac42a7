package org.medlardrum.state;

import com.google.gson.annotations.SerializedName;

/**
 * State of a host as the platform's host list reports it.
 */
public enum HostState {

	/** The host takes work. */
	@SerializedName("live")
	LIVE,

	/** The host is about to stop and takes no new work. */
	@SerializedName("leaving")
	LEAVING

}
