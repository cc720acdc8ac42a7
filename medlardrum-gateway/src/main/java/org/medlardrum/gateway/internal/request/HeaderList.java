package org.medlardrum.gateway.internal.request;

import java.util.List;
import java.util.Optional;

import org.medlardrum.gateway.HeaderLookup;

/**
 * Headers as a list of names and values in turn.
 */
public final class HeaderList {

	private HeaderList() {
	}

	/**
	 * Returns a view for look-ups by name.
	 * @param headers names and values in turn
	 * @return the view
	 */
	public static HeaderLookup lookup(List<String> headers) {
		return (name) -> {
			for (int i = 0; i + 1 < headers.size(); i += 2) {
				if (headers.get(i).equalsIgnoreCase(name)) {
					return Optional.of(headers.get(i + 1));
				}
			}
			return Optional.empty();
		};
	}

}
