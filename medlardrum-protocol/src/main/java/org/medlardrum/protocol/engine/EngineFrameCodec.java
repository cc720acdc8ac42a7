package org.medlardrum.protocol.engine;

import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;

/**
 * Codec of {@link EngineFrame}: one JSON object per line, with a {@code type} member.
 */
public final class EngineFrameCodec {

	private static final Gson GSON = new Gson();

	private EngineFrameCodec() {
	}

	/**
	 * Encodes a frame.
	 * @param frame the frame
	 * @return the line, without line feed
	 */
	public static String encode(EngineFrame frame) {
		JsonObject json = GSON.toJsonTree(frame).getAsJsonObject();
		json.addProperty("type", switch (frame) {
			case EngineFrame.Token token -> "token";
			case EngineFrame.End end -> "end";
			case EngineFrame.Error error -> "error";
		});
		return GSON.toJson(json);
	}

	/**
	 * Decodes a line.
	 * @param line the line
	 * @return the frame
	 * @throws JsonParseException if the line is not a known frame
	 */
	public static EngineFrame decode(String line) {
		JsonObject json = GSON.fromJson(line, JsonObject.class);
		JsonElement type = (json != null) ? json.get("type") : null;
		if (type == null || !type.isJsonPrimitive()) {
			throw new JsonParseException("Engine frame has no type");
		}
		return switch (type.getAsString()) {
			case "token" -> GSON.fromJson(json, EngineFrame.Token.class);
			case "end" -> GSON.fromJson(json, EngineFrame.End.class);
			case "error" -> GSON.fromJson(json, EngineFrame.Error.class);
			default -> throw new JsonParseException("Unknown engine frame type \"" + type.getAsString() + "\"");
		};
	}

}
