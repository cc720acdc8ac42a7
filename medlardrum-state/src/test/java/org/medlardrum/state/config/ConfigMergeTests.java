package org.medlardrum.state.config;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against hosts that compute different documents or hashes from the same changes.
 */
class ConfigMergeTests {

	/** Cases of RFC 7386, appendix A, whose target and patch are objects. */
	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
			{"a":"b"}           | {"a":"c"}                  | {"a":"c"}
			{"a":"b"}           | {"b":"c"}                  | {"a":"b","b":"c"}
			{"a":"b"}           | {"a":null}                 | {}
			{"a":"b","b":"c"}   | {"a":null}                 | {"b":"c"}
			{"a":["b"]}         | {"a":"c"}                  | {"a":"c"}
			{"a":"c"}           | {"a":["b"]}                | {"a":["b"]}
			{"a":{"b":"c"}}     | {"a":{"b":"d","c":null}}   | {"a":{"b":"d"}}
			{"a":[{"b":"c"}]}   | {"a":[1]}                  | {"a":[1]}
			{"e":null}          | {"a":1}                    | {"e":null,"a":1}
			{}                  | {"a":{"bb":{"ccc":null}}}  | {"a":{"bb":{}}}
			""")
	void mergesAsRfc7386Specifies(String base, String overlay, String merged) {
		assertThat(ConfigMerge.merge(object(base), object(overlay))).isEqualTo(object(merged));
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
			{"b":1,"a":2}       | {"a":2.0,"b":1.00}  | true
			{"a":0}             | {"a":-0.00}         | true
			{"a":100}           | {"a":1e2}           | true
			{"a":1e30}          | {"a":10e29}         | true
			{"a":1}             | {"a":"1"}           | false
			{"a":[1,2]}         | {"a":[2,1]}         | false
			{"a":null}          | {}                  | false
			""")
	void hashDependsOnValuesAndNotOnTheirSpelling(String first, String second, boolean equal) {
		boolean same = ConfigMerge.hash(object(first), Map.of()).equals(ConfigMerge.hash(object(second), Map.of()));
		assertThat(same).isEqualTo(equal);
	}

	@Test
	void comparesDownToNamedEntries() {
		ConfigDocuments before = documents("{'routes':{'report':{'rank':'urgent'},'a/b':{}},'schema':1}",
				"{'routes':{'ask':{}},'limits':{}}");
		ConfigDocuments after = documents("{'routes':{'report':{'rank':'standard'}},'schema':1}",
				"{'routes':{'ask':{},'report':null},'models':{'a':{}}}");
		assertThat(ConfigMerge.diff(before, after).stream().map((edit) -> edit.document() + edit.path()))
			.containsExactly("base/routes/a~1b", "base/routes/report", "overlay:z/limits", "overlay:z/models",
					"overlay:z/routes/report");
	}

	@Property
	void editsTurnOneDocumentIntoTheOtherAlsoAfterStorage(@ForAll long seed) {
		Random random = new Random(seed);
		ConfigDocuments before = randomDocuments(random);
		ConfigDocuments after = randomDocuments(random);
		ConfigChange change = new ConfigChange(2, "id", before.hash(), after.hash(), "ana", 5,
				ConfigMerge.diff(before, after));
		ConfigChange stored = ConfigCodec.readChange(ConfigCodec.writeChange(change)).orElseThrow();
		assertThat(ConfigMerge.apply(before, stored.edits(), 2).hash()).isEqualTo(after.hash());
		assertThat(ConfigMerge.revert(after, stored.edits(), 1).hash()).isEqualTo(before.hash());
		ConfigDocuments restored = ConfigCodec.readSnapshot(ConfigCodec.writeSnapshot(after)).orElseThrow();
		assertThat(restored.hash()).isEqualTo(after.hash());
	}

	@ParameterizedTest
	@CsvSource({ "/routes/a, /routes/a, true", "/routes, /routes/a, true", "/routes/a, /routes/ab, false",
			"/routes/a, /pools/a, false", "'', /routes/a, true" })
	void editsOverlapWhenOneContainsTheOther(String first, String second, boolean expected) {
		assertThat(ConfigMerge.overlap(edit(first), edit(second))).isEqualTo(expected);
		assertThat(ConfigMerge.overlap(edit(second), edit(first))).isEqualTo(expected);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			value = { "[]", "{", "{\"version\":1}", "{\"version\":\"x\",\"edits\":[]}",
					"{\"version\":1,\"base\":[],\"overlays\":{},\"hash\":\"\"}",
					"{\"version\":1,\"base\":{},\"overlays\":{},\"hash\":\"00\"}" })
	void damagedTextIsNeitherChangeNorSnapshot(String text) {
		assertThat(ConfigCodec.readChange(text).isPresent()).isFalse();
		assertThat(ConfigCodec.readSnapshot(text).isPresent()).isFalse();
	}

	private static ConfigEdit edit(String path) {
		return new ConfigEdit("base", path, null, null);
	}

	private static ConfigDocuments documents(String base, String overlay) {
		return ConfigMerge.documents(1, object(base.replace('\'', '"')),
				Map.of("z", object(overlay.replace('\'', '"'))));
	}

	private static ConfigDocuments randomDocuments(Random random) {
		Map<String, JsonObject> overlays = new TreeMap<>();
		for (String site : List.of("x", "y", "z")) {
			if (random.nextBoolean()) {
				overlays.put(site, randomObject(random, 3));
			}
		}
		return ConfigMerge.documents(1, randomObject(random, 3), overlays);
	}

	private static JsonObject randomObject(Random random, int depth) {
		JsonObject object = new JsonObject();
		for (int count = random.nextInt(4); count > 0; count--) {
			object.add(List.of("a", "b/c", "~d", "").get(random.nextInt(4)), randomValue(random, depth - 1));
		}
		return object;
	}

	private static JsonElement randomValue(Random random, int depth) {
		return switch (random.nextInt((depth > 0) ? 6 : 3)) {
			case 0 -> JsonNull.INSTANCE;
			case 1 -> new JsonPrimitive(random.nextInt(3));
			case 2 -> new JsonArray();
			default -> randomObject(random, depth);
		};
	}

	private static JsonObject object(String text) {
		return JsonParser.parseString(text).getAsJsonObject();
	}

}
