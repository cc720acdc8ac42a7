package org.medlardrum.entry.internal.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.medlardrum.transport.ConnectionHeaders;

/**
 * Selects the end-to-end headers that are forwarded between callers and plain services.
 */
final class HeaderFilter {

	/**
	 * Headers that the HTTP client sets itself, and the caller's key, which must not
	 * reach services.
	 */
	private static final Set<String> NOT_FORWARDED = Set.of("host", "authorization", "x-request-id");

	private static final String OWN_PREFIX = "medlardrum-";

	private HeaderFilter() {
	}

	static List<String> forward(List<String> headers) {
		List<String> kept = new ArrayList<>();
		for (int i = 0; i + 1 < headers.size(); i += 2) {
			String name = headers.get(i).toLowerCase(Locale.ROOT);
			if (!ConnectionHeaders.names().contains(name) && !NOT_FORWARDED.contains(name)
					&& !name.startsWith(OWN_PREFIX)) {
				kept.add(headers.get(i));
				kept.add(headers.get(i + 1));
			}
		}
		return kept;
	}

}
