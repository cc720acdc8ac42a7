package org.medlardrum.standins;

import java.util.List;
import java.util.function.Consumer;

import com.google.gson.Gson;
import com.google.gson.JsonObject;

/**
 * Settings of one engine stand-in. An engines file contains them as JSON objects, in
 * which a missing member has its default value. Example:
 *
 * <pre>{@code
 * EngineSettings settings = EngineSettings.of("e1", "tally", 0, 12).withSpeed(4, 500);
 * }</pre>
 *
 * @param id unique name of the engine
 * @param availabilityZone availability zone of the engine
 * @param pool pool of the engine, default {@code engines}
 * @param port port to listen on, 0 for a free port
 * @param accelerator accelerator kind
 * @param model model that is loaded at startup
 * @param version version of the model
 * @param adapters adapters that are loaded at startup
 * @param role phase that the engine serves (prefill, decode or both), default
 * {@code both}
 * @param fromLayer first layer of the engine, inclusive
 * @param toLayer end of the layer range, exclusive
 * @param slots maximum number of sequences that run a step concurrently, default 8
 * @param maxSequences maximum number of concurrently accepted sequences, default 1024
 * @param layerTimeUs execution time of one layer for one token, in microseconds, default
 * 1000
 * @param prefillLayerTimeUs execution time of one layer for one prompt token, in
 * microseconds
 * @param adapterLoadMs time to load a missing adapter on demand, in milliseconds
 * @param layerWeightBytes size of the weights of one layer, in bytes
 * @param cachePrefixes capacity of the prefix cache, in prompt prefixes, default 256
 * @param cacheEventDelayMs delay before a cache event is published, in milliseconds
 * @param cacheEventLossShare fraction of cache events that are never published, 0 to 1
 * @param loadLagMs age of the reported load, in milliseconds
 * @param stageTimeoutMs timeout of a call to the next stage, in milliseconds, 0 to wait
 * until the deadline of the request
 * @param fencing whether orders with an outdated fencing token are refused
 */
public record EngineSettings(String id, String availabilityZone, String pool, int port, String accelerator,
		String model, String version, List<String> adapters, String role, int fromLayer, int toLayer, int slots,
		int maxSequences, long layerTimeUs, double prefillLayerTimeUs, long adapterLoadMs, long layerWeightBytes,
		int cachePrefixes, long cacheEventDelayMs, double cacheEventLossShare, long loadLagMs, long stageTimeoutMs,
		boolean fencing) {

	private static final Gson GSON = new Gson();

	public EngineSettings {
		availabilityZone = defaultIfNull(availabilityZone, "zone-1");
		pool = defaultIfNull(pool, "engines");
		accelerator = defaultIfNull(accelerator, "standard");
		model = defaultIfNull(model, "");
		version = defaultIfNull(version, "1");
		role = defaultIfNull(role, "both");
		adapters = (adapters != null) ? List.copyOf(adapters) : List.of();
		slots = (slots > 0) ? slots : 8;
		maxSequences = (maxSequences > 0) ? maxSequences : 1024;
		layerTimeUs = (layerTimeUs > 0) ? layerTimeUs : 1000;
		cachePrefixes = (cachePrefixes > 0) ? cachePrefixes : 256;
		if (id == null || id.isEmpty()) {
			throw new IllegalArgumentException("Engine settings have no id");
		}
		if (fromLayer < 0 || toLayer <= fromLayer) {
			throw new IllegalArgumentException("Engine \"" + id + "\" has the layer range [" + fromLayer + ", "
					+ toLayer + "), which is empty or starts below layer 0");
		}
	}

	/**
	 * Returns settings for a layer range, with the defaults for all other members.
	 * @param id unique name of the engine
	 * @param model model that is loaded at startup
	 * @param fromLayer first layer, inclusive
	 * @param toLayer end of the range, exclusive
	 * @return the settings
	 */
	public static EngineSettings of(String id, String model, int fromLayer, int toLayer) {
		JsonObject json = new JsonObject();
		json.addProperty("id", id);
		json.addProperty("model", model);
		json.addProperty("fromLayer", fromLayer);
		json.addProperty("toLayer", toLayer);
		return GSON.fromJson(json, EngineSettings.class);
	}

	/**
	 * Returns a copy with another speed.
	 * @param newSlots maximum number of sequences that run a step concurrently
	 * @param newLayerTimeUs execution time of one layer for one token, in microseconds
	 * @return the copy
	 */
	public EngineSettings withSpeed(int newSlots, long newLayerTimeUs) {
		return with((json) -> {
			json.addProperty("slots", newSlots);
			json.addProperty("layerTimeUs", newLayerTimeUs);
		});
	}

	/**
	 * Returns a copy with changed members.
	 * @param change modifies the JSON form of the settings
	 * @return the copy
	 */
	public EngineSettings with(Consumer<JsonObject> change) {
		JsonObject json = GSON.toJsonTree(this).getAsJsonObject();
		change.accept(json);
		return GSON.fromJson(json, EngineSettings.class);
	}

	/**
	 * Returns the maximum throughput of the engine over its own layers.
	 * @return tokens per second
	 */
	public double tokensPerS() {
		return this.slots * 1e6 / ((double) this.layerTimeUs * (this.toLayer - this.fromLayer));
	}

	private static String defaultIfNull(String value, String defaultValue) {
		return (value != null) ? value : defaultValue;
	}

}
