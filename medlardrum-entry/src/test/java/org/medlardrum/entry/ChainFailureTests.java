package org.medlardrum.entry;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.medlardrum.standins.EngineStandIn;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against completions that lose, repeat or change tokens when engines fail, and
 * against engines that keep generating after the caller has disconnected.
 */
class ChainFailureTests {

	private final EntryFixture fixture = new EntryFixture();

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private void startChains() throws Exception {
		this.fixture.flag("--stall-timeout-ms", 400)
			.flag("--first-frame-timeout-ms", 400)
			.engine("head-1", 0, 4, (json) -> json.addProperty("layerTimeUs", 3000))
			.engine("tail-1", 4, 8, (json) -> json.addProperty("layerTimeUs", 3000))
			.engine("head-2", 0, 4, (json) -> json.addProperty("layerTimeUs", 3000))
			.engine("tail-2", 4, 8, (json) -> json.addProperty("layerTimeUs", 3000))
			.start();
	}

	// Streams a completion and runs the action after the given number of tokens.
	private String stream(String prompt, int maxTokens, int afterTokens, Runnable action) throws Exception {
		HttpRequest request = this.fixture.request("/v1/chat/completions", EntryFixture.API_KEY)
			.POST(HttpRequest.BodyPublishers.ofString(EntryFixture.chatBody("report", prompt, maxTokens, true)))
			.build();
		HttpResponse<java.io.InputStream> response = this.fixture.client.send(request,
				HttpResponse.BodyHandlers.ofInputStream());
		StringBuilder events = new StringBuilder();
		try (BufferedReader reader = new BufferedReader(
				new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
			int tokens = 0;
			for (String line = reader.readLine(); line != null; line = reader.readLine()) {
				events.append(line).append('\n');
				if (line.startsWith("data: ") && ++tokens == afterTokens) {
					action.run();
				}
			}
		}
		return EntryFixture.streamedText(events.toString());
	}

	private void injectIntoRunning(String prefix, Consumer<EngineStandIn> fault) {
		this.fixture.engines.stream()
			.filter((engine) -> engine.settings().id().startsWith(prefix) && !engine.ledger("").isEmpty())
			.forEach(fault);
	}

	@ParameterizedTest
	@CsvSource({ "head, crash", "tail, crash", "head, freeze", "tail, freeze", "tail, fail" })
	void streamFailsOverToAnotherChain(String prefix, String fault) throws Exception {
		startChains();
		String text = stream("continue", 30, 5, () -> injectIntoRunning(prefix, (engine) -> inject(engine, fault)));
		assertThat(text).isEqualTo(EntryFixture.expectedText("continue", 30) + "[DONE]");
		assertThat(this.fixture.metric("medlardrum_resumes_total")).isAtLeast(1.0);
		this.fixture.engines.forEach((engine) -> engine.setFrozen(false));
	}

	private static void inject(EngineStandIn engine, String fault) {
		switch (fault) {
			case "crash" -> engine.crash();
			case "freeze" -> engine.setFrozen(true);
			default -> engine.setFailFast(true);
		}
	}

	@ParameterizedTest
	@CsvSource({ "head-1, crash", "tail-1, crash", "head-1, freeze", "tail-1, freeze", "head-1, fail", "tail-1, fail" })
	void requestsBeforeTheFirstTokenFailOverToAnotherChain(String server, String fault) throws Exception {
		startChains();
		this.fixture.engines.stream()
			.filter((engine) -> engine.settings().id().equals(server))
			.forEach((engine) -> inject(engine, fault));
		for (int i = 0; i < 6; i++) {
			HttpResponse<String> response = this.fixture.chat("before " + i, 5, false);
			assertThat(response.statusCode()).isEqualTo(200);
			assertThat(EntryFixture.completionText(response)).isEqualTo(EntryFixture.expectedText("before " + i, 5));
		}
		this.fixture.engines.forEach((engine) -> engine.setFrozen(false));
	}

	@Test
	void leavingEngineReceivesNoRequests() throws Exception {
		startChains();
		EngineStandIn leaving = this.fixture.engines.get(0);
		leaving.setLeaving(true);
		for (int i = 0; i < 4; i++) {
			assertThat(this.fixture.chat("leaving " + i, 3, false).statusCode()).isEqualTo(200);
		}
		assertThat(leaving.report().running()).isEqualTo(0);
	}

	@Test
	void repeatedErrorsOpenTheCircuitBreaker() throws Exception {
		startChains();
		this.fixture.engines.get(0).setFailFast(true);
		for (int i = 0; i < 20; i++) {
			assertThat(this.fixture.chat("storm " + i, 2, false).statusCode()).isEqualTo(200);
		}
		EntryFixture.await("open or half-open circuit breaker",
				() -> this.fixture.metric("medlardrum_circuits{state=\"open\"}")
						+ this.fixture.metric("medlardrum_circuits{state=\"half_open\"}") >= 1);
	}

	@Test
	void failureOfAllEnginesEndsAStartedStreamWithAnError() throws Exception {
		startChains();
		String text = stream("all", 60, 3, () -> this.fixture.engines.forEach(EngineStandIn::crash));
		assertThat(text).endsWith("[ERROR]");
		assertThat(text).doesNotContain("[DONE]");
		assertThat(EntryFixture.expectedText("all", 60)).startsWith(text.substring(0, text.indexOf('[')));
	}

	@Test
	void requestThatCrashesEnginesIsQuarantined() throws Exception {
		startChains();
		this.fixture.engines.forEach((engine) -> engine.crashOnPrompt("poison", 50));
		HttpResponse<String> first = this.fixture.chat("poison", 5, false);
		assertThat(first.statusCode()).isAtLeast(500);
		EntryFixture.await("request quarantined", () -> this.fixture.get("/quarantine").body().contains("QUARANTINED"));
		HttpResponse<String> second = this.fixture.chat("poison", 5, false);
		assertThat(second.statusCode()).isEqualTo(503);
		assertThat(second.body()).contains("problem:quarantined");
		assertThat(second.body()).contains("\"ran\":\"no\"");
		assertThat(second.headers().firstValue("Retry-After")).isPresent();
		EntryFixture.await("other requests are served",
				() -> this.fixture.chat("harmless", 5, false).statusCode() == 200);
	}

	@Test
	void allSuspectsOfOneCrashCompleteOnTheLastEngine() throws Exception {
		startChains();
		CompletableFuture<?>[] callers = new CompletableFuture<?>[8];
		for (int i = 0; i < callers.length; i++) {
			String prompt = "suspect " + i;
			callers[i] = CompletableFuture.runAsync(() -> {
				HttpResponse<String> response = this.fixture.chat(prompt, 20, false);
				assertThat(EntryFixture.completionText(response)).isEqualTo(EntryFixture.expectedText(prompt, 20));
			}, (task) -> Thread.ofVirtual().start(task));
		}
		EngineStandIn tail = this.fixture.engines.get(1);
		EntryFixture.await("request running on the last engine", () -> !tail.ledger("").isEmpty());
		tail.crash();
		CompletableFuture.allOf(callers).join();
		assertThat(this.fixture.metric("medlardrum_backend_crashes_total")).isEqualTo(1.0);
	}

	@Test
	void disconnectDuringAStreamFreesTheEngines() throws Exception {
		startChains();
		try (RawClient client = new RawClient(this.fixture.host.callerPort())) {
			client.post("/v1/chat/completions", EntryFixture.chatBody("report", "a", 200, true));
			client.readUntil("data: ");
		}
		EntryFixture.await("engines idle", this::isIdle);
		EntryFixture.await("request counted with outcome cut", () -> this.fixture
			.metric("medlardrum_requests_total{organisation=\"coop\",outcome=\"cut\",rank=\"urgent\"}") == 1);
	}

	@Test
	void disconnectBeforeACompleteResponseFreesTheEngines() throws Exception {
		startChains();
		try (RawClient client = new RawClient(this.fixture.host.callerPort())) {
			client.post("/v1/chat/completions", EntryFixture.chatBody("report", "a", 200, false));
			EntryFixture.await("request running on an engine", () -> !isIdle());
		}
		EntryFixture.await("engines idle", this::isIdle);
	}

	private boolean isIdle() {
		return this.fixture.engines.stream().allMatch((engine) -> engine.report().running() == 0);
	}

	@Test
	void modelRequestsContinueDuringAnOutageOfThePlatform() throws IOException, Exception {
		startChains();
		this.fixture.platform.setOutage(true);
		assertThat(EntryFixture.completionText(this.fixture.chat("outage", 5, false)))
			.isEqualTo(EntryFixture.expectedText("outage", 5));
	}

}
