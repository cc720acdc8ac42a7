package org.medlardrum.protocol.caller;

import java.util.ArrayList;
import java.util.List;

import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;

/**
 * Codec of chat completion requests, responses and chunks.
 *
 * <pre>
 * ChatRequest request = ChatCodec.decodeRequest("{\"model\":\"report\",\"messages\":[...]}");
 * String event = ChatCodec.event(ChatCodec.chunk("r-1", 0, "report", "tok", null));
 * </pre>
 */
public final class ChatCodec {

	/** Data of the event that ends a complete stream. */
	public static final String DONE = "[DONE]";

	private static final Gson GSON = new Gson();

	private ChatCodec() {
	}

	/**
	 * Decodes a request.
	 * @param body text of the body
	 * @return the request
	 * @throws JsonParseException if the text is not a valid request; the message names
	 * the invalid member
	 */
	public static ChatRequest decodeRequest(String body) {
		JsonElement json;
		try {
			json = JsonParser.parseString(body);
		}
		catch (JsonParseException ex) {
			throw new JsonParseException("body is not valid JSON");
		}
		if (!json.isJsonObject()) {
			throw new JsonParseException("body is not a JSON object");
		}
		JsonObject object = json.getAsJsonObject();
		return new ChatRequest(text(object, "model"), messages(object.get("messages")),
				maxTokens(object.get("max_tokens")), flag(object.get("stream")));
	}

	/**
	 * Builds one chunk of a streamed completion.
	 * @param id identifier of the request
	 * @param createdS time of the request, in seconds since the epoch
	 * @param model name of the route
	 * @param text text of the token, {@code null} for none
	 * @param finishReason why generation ended, {@code null} before the end
	 * @return the JSON text
	 */
	public static String chunk(String id, long createdS, String model, String text, String finishReason) {
		JsonObject delta = new JsonObject();
		if (text != null) {
			delta.addProperty("content", text);
		}
		return envelope(id, createdS, model, "chat.completion.chunk", "delta", delta, finishReason).toString();
	}

	/**
	 * Builds a complete response.
	 * @param id identifier of the request
	 * @param createdS time of the request, in seconds since the epoch
	 * @param model name of the route
	 * @param tokens generated tokens
	 * @param finishReason why generation ended
	 * @return the JSON text
	 */
	public static String completion(String id, long createdS, String model, List<String> tokens, String finishReason) {
		JsonObject message = new JsonObject();
		message.addProperty("role", "assistant");
		message.addProperty("content", String.join("", tokens));
		JsonObject json = envelope(id, createdS, model, "chat.completion", "message", message, finishReason);
		JsonObject usage = new JsonObject();
		usage.addProperty("completion_tokens", tokens.size());
		json.add("usage", usage);
		return json.toString();
	}

	/**
	 * Wraps data in a server-sent event.
	 * @param data data without line feeds
	 * @return the event
	 */
	public static String event(String data) {
		return "data: " + data + "\n\n";
	}

	private static JsonObject envelope(String id, long createdS, String model, String object, String member,
			JsonObject content, String finishReason) {
		JsonObject choice = new JsonObject();
		choice.addProperty("index", 0);
		choice.add(member, content);
		choice.add("finish_reason", (finishReason != null) ? GSON.toJsonTree(finishReason) : JsonNull.INSTANCE);
		JsonArray choices = new JsonArray();
		choices.add(choice);
		JsonObject json = new JsonObject();
		json.addProperty("id", id);
		json.addProperty("object", object);
		json.addProperty("created", createdS);
		json.addProperty("model", model);
		json.add("choices", choices);
		return json;
	}

	private static String text(JsonObject object, String member) {
		JsonElement value = object.get(member);
		if (value == null || !value.isJsonPrimitive() || !value.getAsJsonPrimitive().isString()) {
			throw new JsonParseException("member \"" + member + "\" is missing or not a string");
		}
		return value.getAsString();
	}

	private static List<ChatMessage> messages(JsonElement value) {
		if (value == null || !value.isJsonArray() || value.getAsJsonArray().isEmpty()) {
			throw new JsonParseException("member \"messages\" is missing or not a non-empty array");
		}
		List<ChatMessage> messages = new ArrayList<>();
		for (JsonElement element : value.getAsJsonArray()) {
			if (!element.isJsonObject()) {
				throw new JsonParseException("member \"messages\" has an element that is not an object");
			}
			messages.add(new ChatMessage(text(element.getAsJsonObject(), "role"),
					text(element.getAsJsonObject(), "content")));
		}
		return messages;
	}

	private static int maxTokens(JsonElement value) {
		if (value == null || value.isJsonNull()) {
			return 0;
		}
		try {
			int maxTokens = value.getAsBigDecimal().intValueExact();
			if (maxTokens > 0) {
				return maxTokens;
			}
		}
		catch (RuntimeException ex) {
			throw new JsonParseException("member \"max_tokens\" is not a positive integer", ex);
		}
		throw new JsonParseException("member \"max_tokens\" is not a positive integer");
	}

	private static boolean flag(JsonElement value) {
		if (value == null || value.isJsonNull()) {
			return false;
		}
		if (!value.isJsonPrimitive() || !value.getAsJsonPrimitive().isBoolean()) {
			throw new JsonParseException("member \"stream\" is not a boolean");
		}
		return value.getAsBoolean();
	}

}
