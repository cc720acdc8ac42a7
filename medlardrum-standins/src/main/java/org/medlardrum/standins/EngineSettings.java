package org.medlardrum.standins;

import java.util.List;
import java.util.function.Consumer;

import com.google.gson.Gson;
import com.google.gson.JsonObject;

/**
 * Settings of one engine stand-in, also the form of an entry of an engines file. A
 * missing member takes its default.
 *
 * @param id unique name of the engine
 * @param availabilityZone availability zone of the engine
 * @param pool pool of the engine, default {@code engines}
 * @param port port to listen on, 0 for any free one
 * @param accelerator accelerator kind
 * @param model model that is loaded at the start
 * @param version version of the model
 * @param adapters adapters that are loaded at the start
 * @param role role of the engine, default {@code both}
 * @param fromLayer first layer held, inclusive
 * @param toLayer last layer held, exclusive
 * @param slots sequences that run a step at the same time, default 8
 * @param maxSequences sequences that the engine takes at the same time, default 1024
 * @param layerTimeUs time of one layer for one token, in microseconds, default 1000
 * @param prefillLayerTimeUs time of one layer for one prompt token, in microseconds
 * @param adapterLoadMs time to load a missing adapter on demand, in milliseconds
 * @param layerWeightBytes size of the weights of one layer, in bytes
 * @param cachePrefixes number of prompt prefixes in the cache, default 256
 * @param cacheEventDelayMs time until a cache event is published, in milliseconds
 * @param cacheEventLossShare share of cache events that are never published, 0 to 1
 * @param loadLagMs age of the reported load, in milliseconds
 * @param stageTimeoutMs longest wait for a successor, in milliseconds, 0 to wait until
 * the deadline
 * @param fencing whether orders with an old fencing token are refused
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
			throw new IllegalArgumentException("An engine needs an id");
		}
		if (fromLayer < 0 || toLayer <= fromLayer) {
			throw new IllegalArgumentException(
					"Engine \"" + id + "\" has the empty layer range [" + fromLayer + ", " + toLayer + ")");
		}
	}

	/**
	 * Returns default settings for a layer range.
	 * @param id unique name of the engine
	 * @param model model that is loaded
	 * @param fromLayer first layer, inclusive
	 * @param toLayer last layer, exclusive
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
	 * @param newSlots sequences that run a step at the same time
	 * @param newLayerTimeUs time of one layer for one token, in microseconds
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
	 * @param change change to the JSON form of the settings
	 * @return the copy
	 */
	public EngineSettings with(Consumer<JsonObject> change) {
		JsonObject json = GSON.toJsonTree(this).getAsJsonObject();
		change.accept(json);
		return GSON.fromJson(json, EngineSettings.class);
	}

	/**
	 * Returns the largest rate at which the engine runs its layers.
	 * @return tokens per second
	 */
	public double tokensPerS() {
		return this.slots * 1e6 / ((double) this.layerTimeUs * (this.toLayer - this.fromLayer));
	}

	private static String defaultIfNull(String value, String defaultValue) {
		return (value != null) ? value : defaultValue;
	}

}
