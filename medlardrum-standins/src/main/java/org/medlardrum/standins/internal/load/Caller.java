package org.medlardrum.standins.internal.load;

import java.util.List;
import java.util.concurrent.TimeUnit;

import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import io.servicetalk.concurrent.BlockingIterator;
import io.servicetalk.http.api.BlockingStreamingHttpClient;
import io.servicetalk.http.api.BlockingStreamingHttpRequest;
import io.servicetalk.http.api.BlockingStreamingHttpResponse;
import io.servicetalk.http.api.HttpRequestMethod;
import org.medlardrum.protocol.caller.ChatCodec;
import org.medlardrum.protocol.caller.ChatMessage;
import org.medlardrum.protocol.caller.ChatRequest;
import org.medlardrum.standins.TokenFunction;

/**
 * Sends one try of a request and checks its response. Thread-safe.
 */
final class Caller {

	private static final Gson GSON = new Gson();

	private static final String DATA = "data: ";

	private final Targets targets;

	private final String runId;

	Caller(Targets targets, String runId) {
		this.targets = targets;
		this.runId = runId;
	}

	// Identifies a service call in its body and, with a key, in its idempotency key.
	static String callId(String runId, long number) {
		return runId + "-" + number;
	}

	CallResult call(Arrival arrival, int target, TokenListener listener) {
		MixRoute route = arrival.route();
		long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(route.timeoutMs());
		boolean started = false;
		int[] tokens = new int[1];
		try {
			BlockingStreamingHttpResponse response = this.targets.send(target, request(arrival, target), endNs);
			started = true;
			BlockingIterator<io.servicetalk.buffer.api.Buffer> body = response.payloadBody().iterator();
			try (LineReader lines = new LineReader(body, endNs)) {
				int status = response.status().code();
				if (status >= 300) {
					Problem problem = Problem.parse(status, lines.rest());
					return new CallResult(Outcome.REFUSED, problem.type(), problem.ran(), 0);
				}
				if (!route.isModel()) {
					lines.rest();
					return CallResult.whole(0);
				}
				return route.stream() ? readStream(arrival, lines, tokens, listener) : readWhole(arrival, lines);
			}
		}
		catch (Exception ex) {
			return new CallResult((started) ? Outcome.CUT_OFF : Outcome.FAILED, reason(ex), "", tokens[0]);
		}
	}

	private BlockingStreamingHttpRequest request(Arrival arrival, int target) {
		MixRoute route = arrival.route();
		BlockingStreamingHttpClient client = this.targets.client(target);
		String body;
		BlockingStreamingHttpRequest request;
		if (route.isModel()) {
			request = client.post("/v1/chat/completions");
			body = chatBody(arrival);
		}
		else {
			request = client.newRequest(HttpRequestMethod.of(route.method(), HttpRequestMethod.Properties.NONE),
					number(route.path(), arrival));
			body = serviceBody(arrival);
			if (route.withKey()) {
				request.setHeader("Idempotency-Key", callId(this.runId, arrival.number()));
			}
		}
		request.setHeader("Authorization", "Bearer " + route.key());
		request.setHeader("Content-Type", "application/json");
		byte[] bytes = body.getBytes(java.nio.charset.StandardCharsets.UTF_8);
		request.setHeader("Content-Length", Integer.toString(bytes.length));
		return request.payloadBody(List.of(client.executionContext().bufferAllocator().wrap(bytes)));
	}

	private static String chatBody(Arrival arrival) {
		MixRoute route = arrival.route();
		JsonObject message = new JsonObject();
		message.addProperty("role", "user");
		message.addProperty("content", number(route.prompt(), arrival));
		JsonArray messages = new JsonArray();
		messages.add(message);
		JsonObject json = new JsonObject();
		json.addProperty("model", route.route());
		json.add("messages", messages);
		json.addProperty("max_tokens", route.maxTokens());
		json.addProperty("stream", route.stream());
		return GSON.toJson(json);
	}

	private String serviceBody(Arrival arrival) {
		JsonObject json = GSON.fromJson(number(arrival.route().body(), arrival), JsonObject.class);
		json.addProperty("call", callId(this.runId, arrival.number()));
		return GSON.toJson(json);
	}

	private static CallResult readStream(Arrival arrival, LineReader lines, int[] tokens, TokenListener listener)
			throws java.io.IOException {
		StringBuilder text = new StringBuilder();
		String line;
		while ((line = lines.next()) != null) {
			if (!line.startsWith(DATA)) {
				continue;
			}
			String data = line.substring(DATA.length());
			if (data.equals(ChatCodec.DONE)) {
				return check(arrival, text.toString(), tokens[0]);
			}
			JsonObject json = GSON.fromJson(data, JsonObject.class);
			if (json.has("error")) {
				Problem problem = Problem.of(json.getAsJsonObject("error"), "error-event");
				return new CallResult(Outcome.CUT_OFF, problem.type(), problem.ran(), tokens[0]);
			}
			JsonObject delta = choice(json).getAsJsonObject("delta");
			if (delta.has("content")) {
				text.append(delta.get("content").getAsString());
				tokens[0]++;
				listener.token();
			}
		}
		return new CallResult(Outcome.CUT_OFF, "ended-without-done", "", tokens[0]);
	}

	private static CallResult readWhole(Arrival arrival, LineReader lines) throws java.io.IOException {
		JsonObject json = GSON.fromJson(lines.rest(), JsonObject.class);
		String text = choice(json).getAsJsonObject("message").get("content").getAsString();
		return check(arrival, text, text.isEmpty() ? 0 : text.split(" ").length);
	}

	private static JsonObject choice(JsonObject json) {
		JsonArray choices = json.getAsJsonArray("choices");
		if (choices == null || choices.isEmpty()) {
			throw new JsonParseException("response has no choices");
		}
		return choices.get(0).getAsJsonObject();
	}

	private static CallResult check(Arrival arrival, String text, int tokens) {
		MixRoute route = arrival.route();
		String prompt = new ChatRequest(route.route(),
				List.of(new ChatMessage("user", number(route.prompt(), arrival))), route.maxTokens(), route.stream())
			.prompt();
		String expected = new TokenFunction(route.model(), route.adapter(), prompt).completion(route.layers(),
				route.maxTokens());
		return text.equals(expected) ? CallResult.whole(tokens) : new CallResult(Outcome.WRONG, "", "", tokens);
	}

	private static String number(String template, Arrival arrival) {
		return template.replace("{n}", Long.toString(arrival.number()));
	}

	private static String reason(Exception ex) {
		Throwable cause = (ex instanceof java.util.concurrent.ExecutionException && ex.getCause() != null)
				? ex.getCause() : ex;
		return (cause instanceof java.util.concurrent.TimeoutException || "timeout".equals(cause.getMessage()))
				? "timeout" : cause.getClass().getSimpleName();
	}

}
