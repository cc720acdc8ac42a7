package org.medlardrum.standins.internal.load;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import io.servicetalk.http.api.BlockingHttpClient;
import org.medlardrum.standins.internal.http.JsonHttpClient;
import org.medlardrum.standins.internal.service.ExecutionCount;

/**
 * Compares the results of service calls with the executions that the plain services
 * recorded. Thread-safe.
 */
final class ServiceAudit {

	private static final Gson GSON = new Gson();

	private final Map<String, CallRecord> calls = new ConcurrentHashMap<>();

	private final String runId;

	ServiceAudit(String runId) {
		this.runId = runId;
	}

	void record(Arrival arrival, CallResult result, int attempts) {
		this.calls.put(RequestSender.callId(this.runId, arrival.number()),
				new CallRecord(arrival.route(), result, attempts));
	}

	// Counts mismatches in total, by rank and by organisation. A second execution of an
	// idempotent call is not a duplicate.
	JsonObject audit(List<String> serviceAddresses) throws Exception {
		Map<String, Integer> executions = new HashMap<>();
		for (String address : serviceAddresses) {
			for (ExecutionCount execution : fetchExecutions(address)) {
				executions.merge(callId(execution.body()), execution.count(), Integer::sum);
			}
		}
		JsonObject json = new JsonObject();
		this.calls.forEach((id, call) -> {
			int count = executions.getOrDefault(id, 0);
			if (count > 1 && !call.route().idempotent()) {
				increment(json, call.route(), "duplicates");
			}
			if (count > 0 && call.wasRefusedAsNotRun()) {
				increment(json, call.route(), "ranAfterNotRun");
			}
			if (count == 0 && call.result().outcome() == Outcome.COMPLETE) {
				increment(json, call.route(), "answeredWithoutExecution");
			}
		});
		json.addProperty("calls", this.calls.size());
		return json;
	}

	private static ExecutionCount[] fetchExecutions(String address) throws Exception {
		try (BlockingHttpClient client = JsonHttpClient.newClient(address)) {
			return GSON.fromJson(
					client.request(client.get("/control/executions")).payloadBody().toString(StandardCharsets.UTF_8),
					ExecutionCount[].class);
		}
	}

	private static String callId(String body) {
		try {
			JsonObject json = GSON.fromJson(body, JsonObject.class);
			return (json != null && json.has("call")) ? json.get("call").getAsString() : "";
		}
		catch (JsonParseException ex) {
			return "";
		}
	}

	private static void increment(JsonObject json, MixRoute route, String name) {
		for (String group : List.of("total", "rank/" + route.rank().wireName(),
				"organisation/" + route.organisation())) {
			if (!json.has(group)) {
				json.add(group, new JsonObject());
			}
			JsonObject counts = json.getAsJsonObject(group);
			counts.addProperty(name, (counts.has(name) ? counts.get(name).getAsLong() : 0) + 1);
		}
	}

	private record CallRecord(MixRoute route, CallResult result, int attempts) {

		// After a retry, "not run" refers to the retry only; the first attempt may have
		// run.
		boolean wasRefusedAsNotRun() {
			return this.attempts == 1 && this.result.outcome() == Outcome.REFUSED && "no".equals(this.result.ran());
		}

	}

}
