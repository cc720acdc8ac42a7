package org.medlardrum.coordination.config;

import java.util.Map;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.state.config.ConfigDocuments;
import org.medlardrum.state.config.ConfigMerge;

/**
 * Documents and helper methods shared by the tests of the configuration log.
 */
final class ConfigFixtures {

	private static final String BASE = """
			{"schema": 1,
			 "pools": {"engines": {"kind": "engine"}},
			 "models": {"tally": {"layers": 16, "pool": "engines"}},
			 "organisations": {"north": {"keySha256": []}, "south": {"keySha256": []}},
			 "routes": {"report": {"kind": "model", "model": "tally", "rank": "urgent"}},
			 "limits": {"maxAttempts": 3}}""";

	private ConfigFixtures() {
	}

	static JsonObject base() {
		return JsonParser.parseString(BASE).getAsJsonObject();
	}

	static JsonObject baseWith(JsonObject base, String patch) {
		return ConfigMerge.merge(base, JsonParser.parseString(patch.replace('\'', '"')).getAsJsonObject());
	}

	static JsonObject weight(JsonObject base, String organisation, int weight) {
		return baseWith(base, "{'organisations':{'" + organisation + "':{'weight':" + weight + "}}}");
	}

	static ConfigDocuments load(ConfigLog log) {
		return ((StoreResult.Ok<ConfigDocuments>) log.load()).value();
	}

	static ApplyResult applyBase(ConfigLog log, ConfigDocuments basedOn, JsonObject base) {
		return log.apply(basedOn, base, Map.of(), "ana");
	}

	/**
	 * Applies a change of an organisation's weight to the newest version.
	 * @param log the log
	 * @param weight the weight, different from the current one
	 */
	static void accept(ConfigLog log, int weight) {
		ConfigDocuments newest = load(log);
		JsonObject base = (newest.version() != 0) ? newest.base() : base();
		ApplyResult result = applyBase(log, newest, weight(base, "north", weight));
		if (!(result instanceof ApplyResult.Accepted)) {
			throw new IllegalStateException("Not accepted: " + result);
		}
	}

}
