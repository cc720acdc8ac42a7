package org.medlardrum.gateway.internal.relay;

import java.util.ArrayList;
import java.util.List;

/**
 * Header of a request that another host has passed on. Only the address for other hosts
 * interprets it.
 */
public final class RelayHeader {

	/** Name of the header, in lower case. */
	public static final String NAME = "medlardrum-relay";

	/**
	 * Name of the header in which a host names the request that its problem document is
	 * about, in lower case.
	 */
	public static final String REQUEST_ID_NAME = "medlardrum-relayed";

	private static final String FIRST = "first";

	private static final String AGAIN = "again";

	private RelayHeader() {
	}

	/**
	 * Returns the value of the header.
	 * @param first whether the sender has not sent the request to any server before
	 * @return the value
	 */
	public static String value(boolean first) {
		return (first) ? FIRST : AGAIN;
	}

	/**
	 * Returns whether the sender has not sent the request before, so that it counts as a
	 * first attempt in the retry budget.
	 * @param value value of the header
	 * @return {@code true} for a first attempt
	 */
	public static boolean isFirst(String value) {
		return !AGAIN.equals(value);
	}

	/**
	 * Returns the headers without this one.
	 * @param headers alternating names and values
	 * @return alternating names and values
	 */
	public static List<String> without(List<String> headers) {
		List<String> kept = new ArrayList<>();
		for (int i = 0; i + 1 < headers.size(); i += 2) {
			if (!headers.get(i).equalsIgnoreCase(NAME)) {
				kept.add(headers.get(i));
				kept.add(headers.get(i + 1));
			}
		}
		return kept;
	}

}
