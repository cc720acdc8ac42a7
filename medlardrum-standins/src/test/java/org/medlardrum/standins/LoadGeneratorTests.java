package org.medlardrum.standins;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.gson.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.medlardrum.protocol.caller.ChatCodec;
import org.medlardrum.protocol.caller.ChatRequest;
import org.medlardrum.standins.internal.http.Exchange;
import org.medlardrum.standins.internal.http.HttpEndpoint;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a load report that counts a wrong, incomplete or refused response as
 * complete, or that misses a call that was executed twice. A scripted entry host fails in
 * the way that the name of the route says.
 */
@Timeout(120)
class LoadGeneratorTests {

	private static final int LAYERS = 6;

	private final ServiceStandIn service = new ServiceStandIn(ServiceSettings.of("registry-1"));

	private final HttpEndpoint entryHost = new HttpEndpoint(0, this::handle);

	private final AtomicInteger requests = new AtomicInteger();

	@AfterEach
	void close() {
		this.entryHost.close();
		this.service.close();
	}

	@ParameterizedTest
	@CsvSource({ "good, true, whole", "good, false, whole", "swapped, true, wrong", "swapped, false, wrong",
			"short, true, wrong", "cut, true, unfinished", "error, true, unfinished", "refused, true, refused",
			"refused, false, refused", "broken, true, unfinished" })
	void modelResponsesAreCountedByOutcome(String route, boolean stream, String outcome) throws Exception {
		JsonObject total = total(run(Map.of("route", route, "prompt", "tally {n}", "maxTokens", 12, "layers", LAYERS,
				"model", "tally", "stream", stream)));
		long sent = total.get("sent").getAsLong();
		assertThat(sent).isGreaterThan(0);
		for (String count : List.of("whole", "wrong", "unfinished", "refused")) {
			assertThat(total.get(count).getAsLong()).isEqualTo(count.equals(outcome) ? sent : 0);
		}
	}

	@Test
	void requestOnABrokenConnectionIsRetriedOnce() throws Exception {
		JsonObject total = total(run(Map.of("route", "broken", "prompt", "tally {n}", "maxTokens", 12, "layers", LAYERS,
				"model", "tally", "stream", true)));
		assertThat(this.requests.get()).isEqualTo(2 * total.get("sent").getAsInt());
	}

	@ParameterizedTest
	@CsvSource({ "once, ''", "twice, duplicates", "notrun, ranAfterNotRun", "never, answeredWithoutExecution" })
	void serviceCallsAreComparedWithTheirExecutions(String behaviour, String fault) throws Exception {
		JsonObject services = run(
				Map.of("route", behaviour, "method", "POST", "path", "/" + behaviour, "withKey", true))
			.getAsJsonObject("services");
		long calls = services.get("calls").getAsLong();
		assertThat(calls).isGreaterThan(0);
		if (fault.isEmpty()) {
			assertThat(services.has("total")).isFalse();
		}
		else {
			assertThat(services.getAsJsonObject("total").get(fault).getAsLong()).isEqualTo(calls);
		}
	}

	@Test
	void sameSeedGivesTheSameArrivals() throws Exception {
		Map<String, Object> route = Map.of("route", "once", "method", "POST", "path", "/once");
		assertThat(total(run(route)).get("sent")).isEqualTo(total(run(route)).get("sent"));
	}

	private JsonObject run(Map<String, Object> route) throws Exception {
		this.entryHost.start();
		Map<String, Object> all = new java.util.HashMap<>(
				Map.of("rank", "urgent", "organisation", "herd-north", "key", "k", "weight", 1, "targetMs", 60_000));
		all.putAll(route);
		String mix = Json.GSON.toJson(Map.of("routes", List.of(all), "phases",
				List.of(Map.of("name", "steady", "ratePerS", 100, "durationMs", 200))));
		return LoadGenerator.run(mix, List.of(this.entryHost.address()), List.of(this.service.address()), 7, 100);
	}

	private static JsonObject total(JsonObject report) {
		return report.getAsJsonObject("groups").getAsJsonObject("total");
	}

	private void handle(Exchange exchange) throws Exception {
		this.requests.incrementAndGet();
		if (!exchange.path().equals("/v1/chat/completions")) {
			handleServiceCall(exchange);
			return;
		}
		ChatRequest request = ChatCodec.decodeRequest(exchange.body());
		String prompt = request.prompt() + (request.model().equals("swapped") ? "0" : "");
		List<String> tokens = new TokenFunction("tally", "", prompt).tokens(LAYERS, request.maxTokens());
		switch (request.model()) {
			case "refused" -> exchange.sendJson(503, Map.of("type", "urn:medlardrum:problem:overloaded", "ran", "no"));
			case "broken" -> exchange.abort();
			default -> {
				if (request.stream()) {
					stream(exchange, request.model(), tokens);
				}
				else {
					exchange.sendJson(200, ChatCodec.completion("r", 0, "m", tokens, "length"));
				}
			}
		}
	}

	private static void stream(Exchange exchange, String behaviour, List<String> tokens) throws Exception {
		try (var lines = exchange.startLines()) {
			List<String> sent = behaviour.equals("short") ? tokens.subList(1, tokens.size()) : tokens;
			for (String token : sent) {
				lines.write(ChatCodec.event(ChatCodec.chunk("r", 0, "m", token, null)));
			}
			if (behaviour.equals("error")) {
				lines.write(ChatCodec.event("{\"error\":{\"type\":\"backend-failed\",\"ran\":\"unknown\"}}"));
			}
			else if (!behaviour.equals("cut")) {
				lines.write(ChatCodec.event(ChatCodec.DONE));
			}
		}
	}

	private void handleServiceCall(Exchange exchange) throws Exception {
		int executions = switch (exchange.path()) {
			case "/twice" -> 2;
			case "/never" -> 0;
			default -> 1;
		};
		for (int i = 0; i < executions; i++) {
			new TestHttp(this.service.address()).post(exchange.path(), exchange.body());
		}
		if (exchange.path().equals("/notrun")) {
			exchange.sendJson(503, Map.of("type", "urn:medlardrum:problem:claims-unavailable", "ran", "no"));
		}
		else {
			exchange.sendJson(200, Map.of());
		}
	}

}
