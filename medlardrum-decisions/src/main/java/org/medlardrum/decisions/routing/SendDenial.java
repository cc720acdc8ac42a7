package org.medlardrum.decisions.routing;

import java.util.Locale;

/**
 * Reason for which a request must not be sent to another server.
 */
public enum SendDenial {

	/** The request has ended: it was answered, or its caller has left. */
	ENDED,

	/** The deadline of the request has passed. */
	DEADLINE_PASSED,

	/** As many servers as the route allows may have executed the request. */
	SERVER_LIMIT,

	/** The request was sent as often as any request may be, refusals included. */
	SEND_LIMIT,

	/** A server may have executed the request, and it is not idempotent. */
	NOT_IDEMPOTENT,

	/**
	 * The request is in quarantine, because it or a part of its prompt crashes servers.
	 */
	QUARANTINED,

	/**
	 * A part of the prompt may have crashed a server. Another request with it is being
	 * tried, or the turn of this host has not come.
	 */
	SUSPECTED,

	/** The server is leaving, by its own word or by the registry. */
	SERVER_LEAVING,

	/** The server wants no requests of this host for a time. */
	SERVER_PAUSED,

	/** This host's share of the limit that the server has named is used up. */
	REQUEST_LIMIT,

	/** The retry budget of this host is used up. */
	RETRY_BUDGET;

	/**
	 * Returns the reason as it stands in log lines.
	 * @return the lower-case name with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
