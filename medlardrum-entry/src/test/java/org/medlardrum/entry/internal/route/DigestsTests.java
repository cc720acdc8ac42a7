package org.medlardrum.entry.internal.route;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a crashing request that bypasses quarantine because the same JSON is
 * written differently, and against equal fingerprints of different requests.
 */
class DigestsTests {

	private static String fingerprint(String organisation, String route, String body) {
		return Digests.fingerprint(organisation, route, "", body.getBytes(StandardCharsets.UTF_8));
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			value = { "{\"a\":1,\"b\":[1,2]} | {\"b\" : [1, 2], \"a\":1} | true", "{\"a\":1} | {\"a\":2} | false",
					"{\"a\":1,\"b\":2} | ` \n{\"b\":2,\"a\":1}` | true", "{\"a\":[1,2]} | {\"a\":[2,1]} | false",
					"plain text | plain text | true", "{\"a\": | {\"a\":  | true", "{\"a\": | {\"a\":1 | false" })
	void equivalentBodiesHaveTheSameFingerprint(String first, String second, boolean same) {
		assertThat(fingerprint("coop", "report", first).equals(fingerprint("coop", "report", second))).isEqualTo(same);
	}

	@ParameterizedTest
	@CsvSource({ "coop, report, hotel, report", "coop, report, coop, digest", "coop, report, coo, preport" })
	void organisationAndRouteArePartOfTheFingerprint(String organisation, String route, String other,
			String otherRoute) {
		assertThat(fingerprint(organisation, route, "x")).isNotEqualTo(fingerprint(other, otherRoute, "x"));
	}

}
