package org.medlardrum.state;

import com.google.gson.annotations.SerializedName;

/**
 * State of an entry host or a backend server. It comes from the platform's host list; one
 * that is leaving according to a rumour or its own report counts as leaving whatever the
 * list states.
 */
public enum HostState {

	/** The host or server accepts requests. */
	@SerializedName("live")
	LIVE,

	/** The host or server shuts down gracefully and accepts no new requests. */
	@SerializedName("leaving")
	LEAVING

}
