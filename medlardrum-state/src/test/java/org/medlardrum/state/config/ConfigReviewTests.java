package org.medlardrum.state.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against warnings on correct configurations, against entries without effect that
 * pass the review unseen, and against changes whose effect is described wrongly or at the
 * wrong site.
 */
class ConfigReviewTests {

	private static final String KEY = "a".repeat(64);

	private static final String OTHER_KEY = "b".repeat(64);

	private static final JsonObject VALID = object("""
			{"schema": 1,
			 "pools": {"engines": {"kind": "engine"}, "ledger": {"kind": "service"}},
			 "models": {"guide": {"layers": 24, "pool": "engines", "version": "2"}},
			 "organisations": {"hotel": {"keySha256": ["%s"]}, "school": {"keySha256": ["%s"]}},
			 "routes": {
			  "question": {"kind": "model", "model": "guide", "rank": "urgent"},
			  "book": {"kind": "service", "pool": "ledger", "method": "*", "pathPrefix": "/b", "rank": "urgent"}}}"""
		.formatted(KEY, OTHER_KEY));

	/** Guards against warnings that operators learn to ignore. */
	@ParameterizedTest
	@CsvSource({ "herd-tally, herd-tally", "arrieria-sur, arrieria-sur", "demo, demo/overlays",
			"measure, measure/overlays" })
	void realConfigurationsHaveNoWarnings(String base, String overlays) throws Exception {
		ConfigDocuments documents = read("../deploy/" + base + "/base.json", "../deploy/" + overlays);
		assertThat(documents.overlays()).hasSize(3);
		assertThat(ConfigValidator.validate(documents.base(), documents.overlays())).isEmpty();
		assertThat(ConfigReview.warnings(documents)).isEmpty();
		assertThat(ConfigReview.changes(documents, documents)).isEmpty();
	}

	/**
	 * Each patch of the base is valid and causes exactly one warning. Guards against an
	 * entry that looks configured but never serves a request.
	 */
	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			textBlock = """
					{"pools":{"spare":{"kind":"service"}}}                          | base:/pools/spare: no route and no model uses the pool
					{"models":{"old":{"layers":1,"pool":"engines"}}}                | base:/models/old: no route uses the model
					{"organisations":{"hotel":{"keySha256":[]}}}                    | base:/organisations/hotel: has no key
					{"routes":{"question":{"organisations":["hotel"]},"book":{"organisations":["hotel"]}}} | base:/organisations/school: no route allows
					{"routes":{"book":{"pathPrefix":"/b?x=1"}}}                     | base:/routes/book/pathPrefix: never matches: the path
					{"routes":{"book":{"pathPrefix":"/b c"}}}                       | base:/routes/book/pathPrefix: never matches: the path
					{"routes":{"book":{"pathPrefix":"/a/../b"}}}                    | base:/routes/book/pathPrefix: never matches: requests
					{"routes":{"book":{"pathPrefix":"/v1/chat/completions"}}}       | base:/routes/book/pathPrefix: matches longer paths only
					{"placements":{"e1":{"model":"guide","version":"1"}}}           | base:/placements/e1/version: is '1', but engines must hold version '2'
					{"limits":{"maxAttempts":1,"retryBudgetShare":0.1}}             | base:/limits/retryBudgetShare: has no effect
					""")
	void namesEntriesWithoutEffect(String patch, String finding) {
		ConfigDocuments documents = documents(patch, Map.of());
		assertThat(ConfigValidator.validate(documents.base(), documents.overlays())).isEmpty();
		assertThat(descriptions(ConfigReview.warnings(documents))).hasSize(1);
		assertThat(descriptions(ConfigReview.warnings(documents)).get(0)).startsWith(finding);
	}

	/** Guards against warnings on entries that are unusual but do have an effect. */
	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
			{"routes":{"book":{"pathPrefix":"/"}}}
			{"routes":{"book":{"pathPrefix":"/b/.hidden/..x"}}}
			{"routes":{"book":{"pathPrefix":"/v1/chat"}}}
			{"routes":{"book":{"timeoutMs":100}}}
			{"routes":{"b2":{"kind":"service","pool":"ledger","pathPrefix":"/b/","rank":"urgent"}}}
			{"routes":{"b2":{"kind":"service","pool":"ledger","method":"GET","pathPrefix":"/b","rank":"urgent"}}}
			{"placements":{"e1":{"model":"guide"}}}
			{"limits":{"maxAttempts":1}}
			{"limits":{"retryBudgetShare":0}}
			{"links":[{"from":"z-1","to":"z-1","latencyUs":5}]}
			""")
	void entriesWithAnEffectCauseNoWarning(String patch) {
		assertThat(ConfigReview.warnings(documents(patch, Map.of()))).isEmpty();
	}

	/**
	 * Guards against a route for all methods that other routes have replaced, and against
	 * a warning when those have longer prefixes and so leave requests to it.
	 */
	@ParameterizedTest
	@CsvSource({ "/b, 1", "/b/c, 0", "/, 0" })
	void routeForAllMethodsWithARouteForEachMethodIsNamed(String pathPrefix, int warnings) {
		JsonObject patch = object("{\"routes\":{}}");
		for (String method : List.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")) {
			assertThat(ConfigReview.warnings(documents(patch.toString(), Map.of()))).isEmpty();
			patch.getAsJsonObject("routes")
				.add(method, object("{\"kind\":\"service\",\"pool\":\"ledger\",\"pathPrefix\":\"" + pathPrefix + "\","
						+ "\"rank\":\"urgent\",\"method\":\"" + method + "\"}"));
		}
		List<String> found = descriptions(ConfigReview.warnings(documents(patch.toString(), Map.of())));
		assertThat(found).hasSize(warnings);
		found.forEach((description) -> assertThat(description)
			.isEqualTo("base:/routes/book: never matches a documented method: other routes with the same "
					+ "pathPrefix take each (DELETE, GET, HEAD, OPTIONS, PATCH, POST, PUT)"));
	}

	/** Guards against a route that looks open but whose callers cannot identify. */
	@Test
	void routeForOrganisationsWithoutKeysIsNamed() {
		ConfigDocuments documents = documents("""
				{"organisations": {"hotel": {"keySha256": []}}, "routes": {"book": {"organisations": ["hotel"]}}}""",
				Map.of());
		assertThat(descriptions(ConfigReview.warnings(documents))).containsExactly(
				"base:/organisations/hotel: has no key, so all of its requests are refused",
				"base:/routes/book: never used: no organisation that the route allows has a key");
	}

	/**
	 * Guards against warnings that name the wrong document: an entry of the base that
	 * only one site uses is in use, and a fault of the base is named once.
	 */
	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`', nullValues = "none",
			textBlock = """
					{"models":{"old":{"layers":1,"pool":"engines"}}} | {"routes":{"o":{"kind":"model","model":"old","rank":"urgent"}}} | none
					{}                                     | {"routes":{"question":null}}                      | none
					{}                                     | {"models":{"m":{"layers":1,"pool":"engines"}}}    | overlay:z-1:/models/m: no route uses
					{}                                     | {"organisations":{"hotel":{"keySha256":[]}}}      | overlay:z-1:/organisations/hotel: has no key
					{"pools":{"spare":{"kind":"service"}}} | {"limits":{"maxAttempts":2}}                      | base:/pools/spare: no route and no model uses the pool
					{"organisations":{"hotel":{"keySha256":[]}}} | {"organisations":{"hotel":{"keySha256":["dddddddddddddddddddddddddddddddddddddddddddddddddddddddddddddddd"]}}} | base:/organisations/hotel: has no key, so all of its requests are refused (not at z-1)
					{"routes":{"question":{"organisations":["hotel"]},"book":{"organisations":["hotel"]}}} | {"routes":{"question":{"organisations":["*"]}}} | none
					{}                                     | {"routes":{"buok":null}}                          | overlay:z-1:/routes/buok: has no effect: the base
					{}                                     | {"organisations":{"hotel":{"maxInFlight":null}}}  | overlay:z-1:/organisations/hotel/maxInFlight: has no effect
					""")
	void warningsNameTheDocumentAtFault(String basePatch, String overlay, String finding) {
		ConfigDocuments documents = documents(basePatch, Map.of("z-1", overlay));
		assertThat(ConfigValidator.validate(documents.base(), documents.overlays())).isEmpty();
		List<String> found = descriptions(ConfigReview.warnings(documents));
		assertThat(found).hasSize((finding != null) ? 1 : 0);
		found.forEach((description) -> assertThat(description).startsWith(finding));
	}

	/** Guards against an unused entry that a warning of another kind at a site hides. */
	@Test
	void anotherWarningAtASiteDoesNotHideAnUnusedEntry() {
		ConfigDocuments documents = documents("""
				{"routes": {"question": {"organisations": ["hotel"]}, "book": {"organisations": ["hotel"]}}}""",
				Map.of("z-1", "{\"organisations\":{\"school\":{\"keySha256\":[]}}}"));
		assertThat(descriptions(ConfigReview.warnings(documents))).containsExactly(
				"base:/organisations/school: no route allows the organisation, so all of its requests are refused "
						+ "(not at z-1)",
				"overlay:z-1:/organisations/school: has no key, so all of its requests are refused");
	}

	/** Guards against a removed limit that is described as a limit of no requests. */
	@Test
	void removedLimitOfRequestsIsNotALimitOfNone() {
		ConfigDocuments before = documents("{\"organisations\":{\"hotel\":{\"maxInFlight\":5}}}", Map.of());
		assertThat(descriptions(ConfigReview.changes(before, documents("{}", Map.of()))))
			.containsExactly("base:/organisations/hotel/maxInFlight: 5 -> 0: no limit of requests at a time");
	}

	/** Guards against a change of the base whose effect on callers is not named. */
	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			textBlock = """
					{"routes":{"book":null}}                       | base:/routes/book: removed: its requests are refused, unless another route matches them
					{"routes":{"book":{"timeoutMs":9000}}}         | base:/routes/book/timeoutMs: 30000 -> 9000: a request that is not complete after 9000 ms fails
					{"routes":{"book":{"rank":"background"}}}      | base:/routes/book/rank: urgent -> background: requests have the targets, floor and longest wait of rank background
					{"routes":{"book":{"organisations":["hotel"]}}} | base:/routes/book/organisations: was open to all organisations, now only [hotel] may use the route
					{"routes":{"b2":{"kind":"service","pool":"ledger","pathPrefix":"/b/c","rank":"urgent"}}} | base:/routes/b2: added: takes * requests below /b/c, also from routes with a shorter prefix; rank urgent, for all organisations
					{"organisations":{"hotel":{"keySha256":[]}}}   | base:/organisations/hotel/keySha256: 1 key(s) removed, requests with them are refused, unless another organisation has them
					{"organisations":{"hotel":{"maxInFlight":5}}}  | base:/organisations/hotel/maxInFlight: 0 -> 5: an entry host refuses its requests above 5 at a time
					{"models":{"guide":{"version":null}}}          | base:/models/guide/version: 2 -> (none): engines of any version get requests
					{"ranks":{"urgent":{"maxQueueMs":500}}}        | base:/ranks/urgent/maxQueueMs: 880 -> 500: requests of the rank with a longer expected wait than 500 ms are refused
					{"routes":{"question":{"adapter":"a"}}}        | base:/routes/question/adapter: (none) -> a: the model runs with adapter a
					{"routes":{"question":{"kind":"service","model":null,"pool":"ledger","pathPrefix":"/q"}}} | base:/routes/question/kind: model -> service: requests are matched and answered in another way
					{"weightStore":{"loadsPerMinute":2.5}}         | base:/weightStore/loadsPerMinute: 6 -> 2.5: engines load weights sooner or later, no direct effect on callers
					{"limits":{"maxAttempts":3}}                   | base:/limits: written differently, no effect of its own on callers
					{"links":[{"from":"z-2","to":"z-1","latencyUs":5}]} | base:/links: z-1 to z-2: latencyUs default -> 5: chains between the zones are weighed differently
					""")
	void changesOfTheBaseSayWhatTheyMeanForCallers(String patch, String finding) {
		ConfigDocuments after = documents(patch, Map.of());
		assertThat(descriptions(ConfigReview.changes(documents("{}", Map.of()), after))).containsExactly(finding);
	}

	/** Guards against an effect reported for a site whose overlay hides the change. */
	@Test
	void changesSayAtWhichSitesTheyTakeEffect() {
		Map<String, String> overlays = Map.of("z-1", "{\"limits\":{\"maxAttempts\":2}}", "z-2", "{}");
		ConfigDocuments before = documents("{}", overlays);
		ConfigDocuments after = documents("{\"limits\":{\"maxAttempts\":4}}", overlays);
		assertThat(descriptions(ConfigReview.changes(before, after)))
			.containsExactly("base:/limits/maxAttempts: 3 -> 4: a request has at most 4 attempts (not at z-1)");
		assertThat(descriptions(ConfigReview.changes(before, documents("{}", Map.of())))).containsExactly(
				"overlay:z-1:/limits/maxAttempts: 2 -> 3: a request has at most 3 attempts",
				"overlay:z-2:: written differently, no effect of its own on callers");
	}

	/** Guards against an error on a store without a configuration. */
	@Test
	void allEntriesAreAddedToTheEmptyConfiguration() {
		List<String> changes = descriptions(ConfigReview.changes(ConfigMerge.empty(), documents("{}", Map.of())));
		assertThat(changes).contains(
				"base:/routes/question: added: callers can use it as model; rank urgent, for all " + "organisations");
		assertThat(changes).hasSize(8);
	}

	private static List<String> descriptions(List<ConfigFinding> findings) {
		return findings.stream().map(ConfigFinding::describe).toList();
	}

	private static ConfigDocuments documents(String basePatch, Map<String, String> overlays) {
		Map<String, JsonObject> parsed = new TreeMap<>();
		overlays.forEach((site, overlay) -> parsed.put(site, object(overlay)));
		return ConfigMerge.documents(0, ConfigMerge.merge(VALID, object(basePatch)), parsed);
	}

	private static ConfigDocuments read(String baseFile, String overlayDirectory) throws IOException {
		Map<String, JsonObject> overlays = new TreeMap<>();
		try (Stream<Path> files = Files.list(Path.of(overlayDirectory))) {
			for (Path file : files.filter((file) -> !file.endsWith("base.json")).toList()) {
				overlays.put(file.getFileName().toString().replace(".json", ""), object(Files.readString(file)));
			}
		}
		return ConfigMerge.documents(0, object(Files.readString(Path.of(baseFile))), overlays);
	}

	private static JsonObject object(String text) {
		return JsonParser.parseString(text).getAsJsonObject();
	}

}
