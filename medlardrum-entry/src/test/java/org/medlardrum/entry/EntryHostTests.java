package org.medlardrum.entry;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.medlardrum.decisions.ReplayReport;
import org.medlardrum.decisions.TraceReplayer;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against wrong responses and wrong refusals by a host whose backend servers all
 * work.
 */
class EntryHostTests {

	private static EntryFixture fixture;

	@BeforeAll
	static void start() throws Exception {
		fixture = new EntryFixture().engine("e1", 0, 4)
			.engine("e2", 4, 8)
			.engine("e3", 0, 4)
			.engine("e4", 4, 8)
			.service("s1")
			.service("s2")
			.start();
	}

	@AfterAll
	static void stop() {
		fixture.close();
	}

	@ParameterizedTest
	@CsvSource({ "How many calves?, 5", "a, 200", "b, 1" })
	void completeResponseHasTheExpectedTokens(String prompt, int maxTokens) {
		HttpResponse<String> response = fixture.chat(prompt, maxTokens, false);
		assertThat(response.statusCode()).isEqualTo(200);
		assertThat(EntryFixture.completionText(response)).isEqualTo(EntryFixture.expectedText(prompt, maxTokens));
	}

	@Test
	void streamedResponseEndsWithDone() {
		HttpResponse<String> response = fixture.chat("tally", 30, true);
		assertThat(response.headers().firstValue("content-type")).hasValue("text/event-stream");
		assertThat(EntryFixture.streamedText(response.body()))
			.isEqualTo(EntryFixture.expectedText("tally", 30) + "[DONE]");
	}

	@Test
	void serviceCallPassesPathQueryAndBody() {
		HttpResponse<String> lookup = fixture.send(fixture.request("/herds/7?season=spring", EntryFixture.API_KEY));
		assertThat(lookup.statusCode()).isEqualTo(200);
		assertThat(lookup.body()).contains("/herds/7");
		HttpResponse<String> registration = fixture.post("/calves", null, "{\"calf\":1}");
		assertThat(registration.statusCode()).isEqualTo(200);
	}

	@Test
	void retryWithAnIdempotencyKeyReturnsTheFirstOutcomeWithoutRunningAgain() {
		HttpResponse<String> first = fixture.post("/calves", "k-1", "{\"calf\":2}");
		assertThat(first.statusCode()).isEqualTo(200);
		EntryFixture.await("outcome recorded",
				() -> fixture.post("/calves", "k-1", "{\"calf\":2}").body().equals(first.body()));
		HttpResponse<String> other = fixture.post("/calves", "k-1", "{\"calf\":3}");
		assertThat(other.statusCode()).isEqualTo(422);
		assertThat(executions("{\"calf\":2}")).isEqualTo(1);
		assertThat(executions("{\"calf\":3}")).isEqualTo(0);
	}

	private static int executions(String body) {
		return fixture.services.stream()
			.flatMap((service) -> service.executions().stream())
			.filter((execution) -> execution.body().equals(body))
			.mapToInt((execution) -> execution.count())
			.sum();
	}

	@ParameterizedTest
	@CsvSource({ "/v1/chat/completions, key-of-coop, missing, 404, unknown-route",
			"/v1/chat/completions, wrong, report, 401, unknown-key", "/v1/chat/completions, , report, 401, unknown-key",
			"/v1/chat/completions, key-of-coop, private, 403, route-not-allowed",
			"/nowhere, key-of-coop, report, 404, unknown-route",
			"/calves/../herds, key-of-coop, report, 400, bad-request",
			"/calves/%2e%2E/herds, key-of-coop, report, 400, bad-request",
			"/calvesx, key-of-coop, report, 404, unknown-route" })
	void refusesWithAProblemThatSaysNotRun(String path, String key, String route, int status, String type) {
		HttpResponse<String> response = fixture.send(fixture.request(path, key)
			.POST(HttpRequest.BodyPublishers.ofString(EntryFixture.chatBody(route, "x", 3, false))));
		assertThat(response.statusCode()).isEqualTo(status);
		assertThat(response.headers().firstValue("content-type")).hasValue("application/problem+json");
		assertThat(response.body()).contains("\"urn:medlardrum:problem:" + type + "\"");
		assertThat(response.body()).contains("\"ran\":\"no\"");
	}

	@ParameterizedTest
	@CsvSource({ "{, 400", "[], 400" })
	void refusesMalformedBodies(String body, int status) {
		HttpResponse<String> response = fixture.send(fixture.request("/v1/chat/completions", EntryFixture.API_KEY)
			.POST(HttpRequest.BodyPublishers.ofString(body)));
		assertThat(response.statusCode()).isEqualTo(status);
	}

	@Test
	void refusesBodiesAboveTheLimit() {
		HttpResponse<String> response = fixture.chat("x".repeat(5000), 3, false);
		assertThat(response.statusCode()).isEqualTo(413);
	}

	@Test
	void operatorsSeeRequestsAndDecisions() {
		HttpResponse<String> response = fixture.chat("explain", 3, false);
		String id = response.headers().firstValue("x-request-id").orElseThrow();
		assertThat(fixture.get("/explain/" + id).body()).contains("\"chain\"");
		ReplayReport replay = new TraceReplayer().replay(fixture.get("/trace").body().lines().toList());
		assertThat(replay.decisions()).isAtLeast(1);
		assertThat(replay.mismatches()).isEmpty();
		assertThat(fixture.get("/quarantine").body()).isEqualTo("[]");
		assertThat(fixture
			.metric("medlardrum_requests_total{organisation=\"coop\",outcome=\"completed\",rank=\"urgent\"}"))
			.isGreaterThan(0.0);
	}

}
