package org.medlardrum.gateway.internal.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.servicetalk.http.api.HttpHeaders;
import org.medlardrum.gateway.HeaderLookup;

/**
 * Converts HTTP headers to and from a list of alternating names and values.
 */
public final class HeaderList {

	private HeaderList() {
	}

	/**
	 * Copies HTTP headers into a list.
	 * @param headers the headers
	 * @return alternating names and values
	 */
	public static List<String> of(HttpHeaders headers) {
		List<String> list = new ArrayList<>(2 * headers.size());
		for (Map.Entry<CharSequence, CharSequence> header : headers) {
			list.add(header.getKey().toString());
			list.add(header.getValue().toString());
		}
		return list;
	}

	/**
	 * Returns a view of a header list for look-ups by name, ignoring case.
	 * @param headers alternating names and values
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
