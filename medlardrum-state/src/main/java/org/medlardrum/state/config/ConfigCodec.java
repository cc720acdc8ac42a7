package org.medlardrum.state.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;

/**
 * Encodes and decodes changes and snapshots as JSON, for the platform's store and for the
 * exchange between entry hosts. The code does not use Gson's reflection, which cannot
 * distinguish an absent member from one that is {@code null}, as edits require.
 */
public final class ConfigCodec {

	private ConfigCodec() {
	}

	/**
	 * Writes a change.
	 * @param change the change
	 * @return the JSON text
	 */
	public static String writeChange(ConfigChange change) {
		JsonObject json = new JsonObject();
		json.addProperty("version", change.version());
		json.addProperty("changeId", change.changeId());
		json.addProperty("parentHash", change.parentHash());
		json.addProperty("resultHash", change.resultHash());
		json.addProperty("author", change.author());
		json.addProperty("atMs", change.atMs());
		json.add("edits", writeEdits(change.edits()));
		return json.toString();
	}

	/**
	 * Writes edits.
	 * @param edits the edits
	 * @return a JSON array
	 */
	public static JsonArray writeEdits(List<ConfigEdit> edits) {
		JsonArray array = new JsonArray();
		for (ConfigEdit edit : edits) {
			JsonObject json = new JsonObject();
			json.addProperty("document", edit.document());
			json.addProperty("path", edit.path());
			if (edit.oldValue() != null) {
				json.add("old", edit.oldValue());
			}
			if (edit.newValue() != null) {
				json.add("new", edit.newValue());
			}
			array.add(json);
		}
		return array;
	}

	/**
	 * Reads a change.
	 * @param text the JSON text
	 * @return the change, empty when the text is not a change
	 */
	public static Optional<ConfigChange> readChange(String text) {
		try {
			JsonObject json = JsonParser.parseString(text).getAsJsonObject();
			List<ConfigEdit> edits = new ArrayList<>();
			for (JsonElement element : json.getAsJsonArray("edits")) {
				JsonObject edit = element.getAsJsonObject();
				edits.add(new ConfigEdit(edit.get("document").getAsString(), edit.get("path").getAsString(),
						edit.get("old"), edit.get("new")));
			}
			return Optional.of(new ConfigChange(json.get("version").getAsLong(), json.get("changeId").getAsString(),
					json.get("parentHash").getAsString(), json.get("resultHash").getAsString(),
					json.get("author").getAsString(), json.get("atMs").getAsLong(), List.copyOf(edits)));
		}
		catch (JsonParseException | IllegalStateException | NullPointerException | UnsupportedOperationException
				| NumberFormatException | ClassCastException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Writes documents as a snapshot.
	 * @param documents the documents
	 * @return the JSON text
	 */
	public static String writeSnapshot(ConfigDocuments documents) {
		JsonObject overlays = new JsonObject();
		documents.overlays().forEach(overlays::add);
		JsonObject json = new JsonObject();
		json.addProperty("version", documents.version());
		json.addProperty("hash", documents.hash());
		json.add("base", documents.base());
		json.add("overlays", overlays);
		return json.toString();
	}

	/**
	 * Reads a snapshot and checks its hash.
	 * @param text the JSON text
	 * @return the documents, empty when the text is not a snapshot or its hash does not
	 * match
	 */
	public static Optional<ConfigDocuments> readSnapshot(String text) {
		try {
			JsonObject json = JsonParser.parseString(text).getAsJsonObject();
			Map<String, JsonObject> overlays = new TreeMap<>();
			json.getAsJsonObject("overlays")
				.entrySet()
				.forEach((entry) -> overlays.put(entry.getKey(), entry.getValue().getAsJsonObject()));
			ConfigDocuments documents = ConfigMerge.documents(json.get("version").getAsLong(),
					json.getAsJsonObject("base"), overlays);
			return documents.hash().equals(json.get("hash").getAsString()) ? Optional.of(documents) : Optional.empty();
		}
		catch (JsonParseException | IllegalStateException | NullPointerException | UnsupportedOperationException
				| NumberFormatException | ClassCastException ex) {
			return Optional.empty();
		}
	}

}
