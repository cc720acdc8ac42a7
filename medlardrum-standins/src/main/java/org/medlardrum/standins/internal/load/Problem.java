package org.medlardrum.standins.internal.load;

import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;

/**
 * Members of a problem document that the load report uses.
 *
 * @param type type of the problem, without the URN prefix
 * @param ran value of the member that says whether the request ran, empty if missing
 */
record Problem(String type, String ran) {

	private static final Gson GSON = new Gson();

	private static final String TYPE_PREFIX = "urn:medlardrum:problem:";

	static Problem parse(int status, String body) {
		try {
			JsonObject json = GSON.fromJson(body, JsonObject.class);
			return of((json != null) ? json : new JsonObject(), "status-" + status);
		}
		catch (JsonParseException ex) {
			return new Problem("status-" + status, "");
		}
	}

	static Problem of(JsonObject json, String fallbackType) {
		String type = text(json, "type", fallbackType);
		return new Problem(type.startsWith(TYPE_PREFIX) ? type.substring(TYPE_PREFIX.length()) : type,
				text(json, "ran", ""));
	}

	private static String text(JsonObject json, String name, String fallback) {
		JsonElement value = json.get(name);
		return (value != null && value.isJsonPrimitive()) ? value.getAsString() : fallback;
	}

}
