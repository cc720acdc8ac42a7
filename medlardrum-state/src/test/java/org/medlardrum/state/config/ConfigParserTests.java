package org.medlardrum.state.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.state.BackendServerKind;
import org.medlardrum.state.Rank;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an invalid configuration being accepted, and against faults being
 * reported only one at a time.
 */
class ConfigParserTests {

	private static final String VALID = """
			{"schema": 1,
			 "pools": {"engines": {"kind": "engine"}, "ledger": {"kind": "service"}},
			 "models": {"guide": {"layers": 24, "pool": "engines"}},
			 "organisations": {"hotel": {"keySha256": []}},
			 "routes": {
			  "question": {"kind": "model", "model": "guide", "rank": "urgent"},
			  "book": {"kind": "service", "pool": "ledger", "method": "POST", "pathPrefix": "/b", "rank": "urgent"}}}""";

	@Test
	void fillsInDefaults() {
		Configuration configuration = ((ConfigResult.Valid) ConfigParser.parse(VALID)).configuration();
		assertThat(configuration.routes().get("question")).isEqualTo(new RouteConfig(RouteKind.MODEL, "guide", "", "",
				"", "", Rank.URGENT, List.of("*"), true, 30_000, 1024));
		assertThat(configuration.routes().get("book").idempotent()).isFalse();
		assertThat(configuration.pools().get("engines")).isEqualTo(new PoolConfig(BackendServerKind.ENGINE, 0));
		assertThat(configuration.ranks().get(Rank.URGENT)).isEqualTo(new RankConfig(0.5, 1_100, 27, 880, 0.99));
		assertThat(configuration.limits()).isEqualTo(new LimitsConfig(0.1, 3, 600_000, 86_400_000, 1_048_576, 10_000));
	}

	/** Each patch is merged over the valid document and must cause exactly one fault. */
	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			textBlock = """
					{"schema":2}                                                    | /schema
					{"rotues":{}}                                                   | /rotues
					{"routes":{"question":{"rnak":"urgent"}}}                       | /routes/question/rnak
					{"routes":{"question":{"rank":"fast"}}}                         | /routes/question/rank
					{"routes":{"question":{"rank":null}}}                           | /routes/question/rank
					{"routes":{"question":{"model":"gone"}}}                        | /routes/question/model
					{"routes":{"question":{"idempotent":false}}}                    | /routes/question/idempotent
					{"routes":{"question":{"timeoutMs":1000}}}                      | /routes/question/timeoutMs
					{"routes":{"question":{"timeoutMs":1e999999999}}}               | /routes/question/timeoutMs
					{"routes":{"question":{"maxTokens":1.5}}}                       | /routes/question/maxTokens
					{"routes":{"question":{"organisations":["gone"]}}}              | /routes/question/organisations
					{"routes":{"question":{"organisations":[]}}}                    | /routes/question/organisations
					{"routes":{"question":{"pool":"ledger"}}}                       | /routes/question/pool
					{"routes":{"book":{"pool":"engines"}}}                          | /routes/book/pool
					{"routes":{"book":{"pathPrefix":"b"}}}                          | /routes/book/pathPrefix
					{"routes":{"book":{"pathPrefix":7}}}                            | /routes/book/pathPrefix
					{"routes":{"book":{"method":"post"}}}                           | /routes/book/method
					{"routes":{"book":7}}                                           | /routes/book
					{"limits":{"claimRetentionMs":60000},"routes":{"book":{"timeoutMs":60001}}} | /routes/book/timeoutMs
					{"routes":{"b2":{"kind":"service","pool":"ledger","method":"POST","pathPrefix":"/b","rank":"urgent"}}} | /routes/b2
					{"models":{"guide":{"layers":0}}}                               | /models/guide/layers
					{"models":{"guide":{"pool":"ledger"}}}                          | /models/guide/pool
					{"pools":{"engines":{"maxInFlightPerServer":4}}}                | /pools/engines/maxInFlightPerServer
					{"organisations":{"hotel":{"keySha256":["AB"]}}}                | /organisations/hotel/keySha256
					{"organisations":{"hotel":{"weight":"1"}}}                      | /organisations/hotel/weight
					{"organisations":{"hotel":{"weight":0}}}                        | /organisations/hotel/weight
					{"ranks":{"standard":{"floorShare":0.5}}}                       | /ranks
					{"ranks":{"urgent":{"maxQueueMs":1101}}}                        | /ranks/urgent/maxQueueMs
					{"ranks":{"urgnet":{}}}                                         | /ranks/urgnet
					{"limits":{"maxAttempts":0}}                                    | /limits/maxAttempts
					{"links":{}}                                                    | /links
					{"links":[{"from":"a","to":"b","latencyUs":1},{"from":"b","to":"a","latencyUs":2}]} | /links/1
					{"placements":{"e1":{"model":"gone"}}}                          | /placements/e1/model
					{"placements":{"e1":{"model":"guide","role":"x"}}}              | /placements/e1/role
					{"weightStore":{"loadsPerMinute":0}}                            | /weightStore/loadsPerMinute
					""")
	void namesEachFaultByItsPath(String patch, String path) {
		JsonObject merged = ConfigMerge.merge(object(VALID), object(patch));
		List<ConfigFault> faults = ((ConfigResult.Invalid) ConfigParser.parse(merged)).faults();
		assertThat(faults.stream().map(ConfigFault::path)).containsExactly(path);
	}

	@Test
	void reportsAllFaultsAtOnceAndNoneTwice() {
		JsonObject base = ConfigMerge.merge(object(VALID), object("{\"schema\":2,\"limits\":{\"maxAttempts\":\"3\"}}"));
		Map<String, JsonObject> overlays = Map.of("z-1", object("{\"routes\":{\"book\":{\"rank\":\"x\"}}}"));
		assertThat(ConfigValidator.validate(base, overlays).stream().map(ConfigFault::path))
			.containsExactly("base:/schema", "base:/limits/maxAttempts", "overlay:z-1:/routes/book/rank");
	}

	@Test
	void overlayThatIsFineAloneIsRefusedWhenItContradictsTheBase() {
		Map<String, JsonObject> overlays = Map.of("z-1", object("{\"models\":{\"guide\":null}}"));
		assertThat(ConfigValidator.validate(object(VALID), overlays).stream().map(ConfigFault::describe))
			.containsExactly("overlay:z-1:/routes/question/model: model 'guide' does not exist");
	}

	@Test
	void documentsAboveTheStoresValueLimitAreRefused() {
		JsonObject base = object(VALID);
		base.getAsJsonObject("models")
			.getAsJsonObject("guide")
			.addProperty("version", "x".repeat(ConfigValidator.MAX_DOCUMENT_BYTES));
		assertThat(ConfigValidator.validate(base, Map.of())).hasSize(1);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "[]", "{", "{\"a\":1,\"a\":2}", "{\"a\":{\"b\":1,\"b\":2}}", "{} {}", "{'a':1}",
			"{\"a\":NaN}" })
	void refusesTextThatJsonParsersReadDifferently(String text) {
		List<ConfigFault> faults = new ArrayList<>();
		ConfigParser.parseDocument(text, faults);
		assertThat(faults).hasSize(1);
	}

	private static JsonObject object(String text) {
		return JsonParser.parseString(text).getAsJsonObject();
	}

}
