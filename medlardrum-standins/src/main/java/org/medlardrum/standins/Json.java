package org.medlardrum.standins;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;

/**
 * JSON files of the commands.
 */
final class Json {

	static final Gson GSON = new Gson();

	private Json() {
	}

	static <T> T read(String file, Class<T> type) throws IOException {
		try {
			T value = GSON.fromJson(Files.readString(Path.of(file)), type);
			if (value == null) {
				throw new IllegalArgumentException("File " + file + " is empty");
			}
			return value;
		}
		catch (JsonParseException ex) {
			throw new IllegalArgumentException("File " + file + " is malformed: " + ex.getMessage(), ex);
		}
	}

}
