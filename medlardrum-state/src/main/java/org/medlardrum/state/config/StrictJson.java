package org.medlardrum.state.config;

import java.io.IOException;
import java.io.StringReader;
import java.math.BigDecimal;
import java.util.List;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonPrimitive;
import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import com.google.gson.stream.MalformedJsonException;

/**
 * Reads a JSON object and reports duplicate members. Gson's own parser silently keeps the
 * last one, so that a route defined twice would lose its first definition.
 */
final class StrictJson {

	private StrictJson() {
	}

	/**
	 * Reads one JSON object.
	 * @param text the text
	 * @param faults list to which faults are added, also when an object is returned
	 * (duplicate members)
	 * @return the object, {@code null} when the text is not a JSON object
	 */
	static JsonObject parse(String text, List<ConfigFault> faults) {
		JsonReader reader = new JsonReader(new StringReader(text));
		reader.setStrictness(Strictness.STRICT);
		try {
			JsonElement element = read(reader, "", faults);
			if (reader.peek() != JsonToken.END_DOCUMENT) {
				faults.add(new ConfigFault("", "text follows the end of the document", ""));
				return null;
			}
			if (element.isJsonObject()) {
				return element.getAsJsonObject();
			}
			faults.add(new ConfigFault("", "the document is not a JSON object", "an object"));
		}
		catch (MalformedJsonException | JsonParseException | NumberFormatException ex) {
			faults.add(new ConfigFault("", "the text is not valid JSON: " + ex.getMessage(), ""));
		}
		catch (IOException | IllegalStateException ex) {
			// A truncated text causes an EOFException, an unexpected token an
			// IllegalStateException.
			faults.add(new ConfigFault("", "the text ends early or is not valid JSON: " + ex.getMessage(), ""));
		}
		return null;
	}

	private static JsonElement read(JsonReader reader, String path, List<ConfigFault> faults) throws IOException {
		return switch (reader.peek()) {
			case BEGIN_OBJECT -> readObject(reader, path, faults);
			case BEGIN_ARRAY -> readArray(reader, path, faults);
			case STRING -> new JsonPrimitive(reader.nextString());
			case NUMBER -> new JsonPrimitive(new BigDecimal(reader.nextString()));
			case BOOLEAN -> new JsonPrimitive(reader.nextBoolean());
			default -> {
				reader.nextNull();
				yield JsonNull.INSTANCE;
			}
		};
	}

	private static JsonObject readObject(JsonReader reader, String path, List<ConfigFault> faults) throws IOException {
		JsonObject object = new JsonObject();
		reader.beginObject();
		while (reader.hasNext()) {
			String name = reader.nextName();
			String memberPath = path + "/" + ConfigMerge.escape(name);
			if (object.has(name)) {
				faults.add(new ConfigFault(memberPath, "the member appears twice", ""));
			}
			object.add(name, read(reader, memberPath, faults));
		}
		reader.endObject();
		return object;
	}

	private static JsonArray readArray(JsonReader reader, String path, List<ConfigFault> faults) throws IOException {
		JsonArray array = new JsonArray();
		reader.beginArray();
		while (reader.hasNext()) {
			array.add(read(reader, path + "/" + array.size(), faults));
		}
		reader.endArray();
		return array;
	}

}
