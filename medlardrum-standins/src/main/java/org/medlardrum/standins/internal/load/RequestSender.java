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
 * Sends one attempt of a request and checks the response. Thread-safe.
 */
final class RequestSender {

	private static final Gson GSON = new Gson();

	private static final String DATA_PREFIX = "data: ";

	private final Targets targets;

	private final String runId;

	RequestSender(Targets targets, String runId) {
		this.targets = targets;
		this.runId = runId;
	}

	// Returns the identifier of a service call, which its body carries and, if the route
	// has one, its idempotency key.
	static String callId(String runId, long number) {
		return runId + "-" + number;
	}

	CallResult send(Arrival arrival, int target, TokenListener listener) {
		MixRoute route = arrival.route();
		long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(route.timeoutMs());
		boolean started = false;
		int[] tokens = new int[1];
		try {
			BlockingStreamingHttpResponse response = this.targets.send(target, request(arrival, target), deadlineNs);
			started = true;
			BlockingIterator<io.servicetalk.buffer.api.Buffer> body = response.payloadBody().iterator();
			try (LineReader lines = new LineReader(body, deadlineNs)) {
				int status = response.status().code();
				if (status >= 300) {
					Problem problem = Problem.parse(status, lines.readRemaining());
					return new CallResult(Outcome.REFUSED, problem.type(), problem.ran(), 0);
				}
				if (!route.isModel()) {
					lines.readRemaining();
					return CallResult.complete(0);
				}
				return route.stream() ? readStream(arrival, lines, tokens, listener) : readComplete(arrival, lines);
			}
		}
		catch (Exception ex) {
			return new CallResult((started) ? Outcome.INCOMPLETE : Outcome.FAILED, failureReason(ex), "", tokens[0]);
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
					expandTemplate(route.path(), arrival));
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
		message.addProperty("content", expandTemplate(route.prompt(), arrival));
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
		JsonObject json = GSON.fromJson(expandTemplate(arrival.route().body(), arrival), JsonObject.class);
		json.addProperty("call", callId(this.runId, arrival.number()));
		return GSON.toJson(json);
	}

	private static CallResult readStream(Arrival arrival, LineReader lines, int[] tokens, TokenListener listener)
			throws java.io.IOException {
		StringBuilder text = new StringBuilder();
		String line;
		while ((line = lines.readLine()) != null) {
			if (!line.startsWith(DATA_PREFIX)) {
				continue;
			}
			String data = line.substring(DATA_PREFIX.length());
			if (data.equals(ChatCodec.DONE)) {
				return checkCompletion(arrival, text.toString(), tokens[0]);
			}
			JsonObject json = GSON.fromJson(data, JsonObject.class);
			if (json.has("error")) {
				Problem problem = Problem.of(json.getAsJsonObject("error"), "error-event");
				return new CallResult(Outcome.INCOMPLETE, problem.type(), problem.ran(), tokens[0]);
			}
			JsonObject delta = firstChoice(json).getAsJsonObject("delta");
			if (delta.has("content")) {
				text.append(delta.get("content").getAsString());
				tokens[0]++;
				listener.onToken();
			}
		}
		return new CallResult(Outcome.INCOMPLETE, "ended-without-done", "", tokens[0]);
	}

	private static CallResult readComplete(Arrival arrival, LineReader lines) throws java.io.IOException {
		JsonObject json = GSON.fromJson(lines.readRemaining(), JsonObject.class);
		String text = firstChoice(json).getAsJsonObject("message").get("content").getAsString();
		return checkCompletion(arrival, text, text.isEmpty() ? 0 : text.split(" ").length);
	}

	private static JsonObject firstChoice(JsonObject json) {
		JsonArray choices = json.getAsJsonArray("choices");
		if (choices == null || choices.isEmpty()) {
			throw new JsonParseException("Response has no choices");
		}
		return choices.get(0).getAsJsonObject();
	}

	private static CallResult checkCompletion(Arrival arrival, String text, int tokens) {
		MixRoute route = arrival.route();
		String prompt = new ChatRequest(route.route(),
				List.of(new ChatMessage("user", expandTemplate(route.prompt(), arrival))), route.maxTokens(),
				route.stream())
			.prompt();
		String expected = new TokenFunction(route.model(), route.adapter(), prompt).completion(route.layers(),
				route.maxTokens());
		return text.equals(expected) ? CallResult.complete(tokens) : new CallResult(Outcome.WRONG, "", "", tokens);
	}

	private static String expandTemplate(String template, Arrival arrival) {
		return template.replace("{n}", Long.toString(arrival.number()));
	}

	private static String failureReason(Exception ex) {
		Throwable cause = (ex instanceof java.util.concurrent.ExecutionException && ex.getCause() != null)
				? ex.getCause() : ex;
		return (cause instanceof java.util.concurrent.TimeoutException || "timeout".equals(cause.getMessage()))
				? "timeout" : cause.getClass().getSimpleName();
	}

}
