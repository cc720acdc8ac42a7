package org.medlardrum.transport;

import io.servicetalk.http.api.HttpResponseMetaData;
import org.medlardrum.state.Outcome;

/**
 * Response header that states that the backend server did not run the request.
 */
final class NotRunHeader {

	static final String NAME = "Medlardrum-Not-Run";

	static final int OK = 200;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final long MS_PER_S = 1000;

	private NotRunHeader() {
	}

	static boolean isSet(HttpResponseMetaData response) {
		CharSequence value = response.headers().get(NAME);
		return response.status().code() == SERVICE_UNAVAILABLE && value != null
				&& "true".contentEquals(value.toString().trim());
	}

	static <T> Outcome<T> outcome(HttpResponseMetaData response, String reason) {
		return (isSet(response)) ? new Outcome.NotRun<>(reason, retryAfterMs(response))
				: new Outcome.MayHaveRun<>(reason);
	}

	private static long retryAfterMs(HttpResponseMetaData response) {
		CharSequence value = response.headers().get("Retry-After");
		if (value == null || !value.toString().matches("[0-9]{1,6}")) {
			return 0;
		}
		return Long.parseLong(value.toString()) * MS_PER_S;
	}

}
