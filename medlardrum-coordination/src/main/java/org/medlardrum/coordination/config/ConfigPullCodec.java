package org.medlardrum.coordination.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import org.medlardrum.peer.gen.ConfigEntry;
import org.medlardrum.peer.gen.ConfigPull;

/**
 * Writes and reads a pull as JSON. An entry host's admin address serves it at
 * {@code GET /config?after=<version>}; the command line reads it to restore changes that
 * the store has lost.
 */
public final class ConfigPullCodec {

	private ConfigPullCodec() {
	}

	/**
	 * Writes a pull.
	 * @param pull the pull
	 * @return the JSON text
	 */
	public static String write(ConfigPull pull) {
		JsonObject json = new JsonObject();
		json.addProperty("version", pull.getVersion());
		if (pull.isSetSnapshotJson()) {
			json.add("snapshot", JsonParser.parseString(pull.getSnapshotJson()));
		}
		JsonArray changes = new JsonArray();
		if (pull.isSetChanges()) {
			pull.getChanges().forEach((entry) -> changes.add(JsonParser.parseString(entry.getChangeJson())));
		}
		json.add("changes", changes);
		return json.toString();
	}

	/**
	 * Reads a pull. The hashes of its snapshot and changes are not checked here but when
	 * they are applied.
	 * @param text the JSON text
	 * @return the pull, empty when the text is not a valid pull
	 */
	public static Optional<ConfigPull> read(String text) {
		try {
			JsonObject json = JsonParser.parseString(text).getAsJsonObject();
			List<ConfigEntry> changes = new ArrayList<>();
			for (JsonElement change : json.getAsJsonArray("changes")) {
				changes.add(new ConfigEntry(change.getAsJsonObject().get("version").getAsLong(), change.toString()));
			}
			ConfigPull pull = new ConfigPull(json.get("version").getAsLong(), changes);
			if (json.has("snapshot")) {
				pull.setSnapshotJson(json.get("snapshot").toString());
			}
			return Optional.of(pull);
		}
		catch (JsonParseException | IllegalStateException | NullPointerException | UnsupportedOperationException
				| NumberFormatException | ClassCastException ex) {
			return Optional.empty();
		}
	}

}
