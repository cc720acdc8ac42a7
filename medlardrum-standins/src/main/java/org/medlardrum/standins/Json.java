package org.medlardrum.standins;

import java.io.IOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;

/**
 * Reads the JSON files of the commands. Unknown members are rejected, as a misspelt
 * setting would otherwise silently have its default value.
 */
final class Json {

	static final Gson GSON = new Gson();

	private Json() {
	}

	static <T> T read(String file, Class<T> type) throws IOException {
		try {
			return parse(Files.readString(Path.of(file)), type);
		}
		catch (JsonParseException ex) {
			throw new IllegalArgumentException("File " + file + " is not valid: " + ex.getMessage(), ex);
		}
	}

	static <T> T parse(String text, Class<T> type) {
		JsonElement json = JsonParser.parseString(text);
		if (!json.isJsonObject()) {
			throw new JsonParseException("not a JSON object");
		}
		checkMembers(json, type);
		return GSON.fromJson(json, type);
	}

	private static void checkMembers(JsonElement json, Type type) {
		if (json.isJsonArray() && type instanceof ParameterizedType list) {
			json.getAsJsonArray().forEach((element) -> checkMembers(element, list.getActualTypeArguments()[0]));
		}
		else if (json.isJsonObject() && type instanceof Class<?> record && record.isRecord()) {
			Map<String, RecordComponent> members = Arrays.stream(record.getRecordComponents())
				.collect(Collectors.toMap(RecordComponent::getName, Function.identity()));
			json.getAsJsonObject().asMap().forEach((name, value) -> {
				if (!members.containsKey(name)) {
					throw new JsonParseException("unknown member \"" + name + "\"");
				}
				checkMembers(value, members.get(name).getGenericType());
			});
		}
	}

}
