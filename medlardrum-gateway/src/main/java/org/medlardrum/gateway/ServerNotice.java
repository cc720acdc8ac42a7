package org.medlardrum.gateway;

import org.medlardrum.decisions.routing.RequestedPause;

/**
 * What a backend server says about itself in the head of a response.
 *
 * @param leaving whether it is leaving and must not be sent further requests
 * @param pause time for which it wants no requests of this host
 */
public record ServerNotice(boolean leaving, RequestedPause pause) {

	/** A response without a notice. */
	public static final ServerNotice NONE = new ServerNotice(false, RequestedPause.NONE);

}
