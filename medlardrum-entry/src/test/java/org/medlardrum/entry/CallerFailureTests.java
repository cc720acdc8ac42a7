package org.medlardrum.entry;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.medlardrum.state.BackendServerKind;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against callers that hold resources of the host, for example by not reading a
 * response, and against graceful shutdowns that abort requests in progress.
 */
class CallerFailureTests {

	private final EntryFixture fixture = new EntryFixture();

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private void startSlowEngine() throws Exception {
		this.fixture.engine("e1", 0, 8, (json) -> json.addProperty("layerTimeUs", 2000)).start();
	}

	@Test
	void truncatedBodyIsRefusedAsNotRun() throws Exception {
		this.fixture.flag("--body-timeout-ms", 300);
		startSlowEngine();
		try (RawClient client = new RawClient(this.fixture.host.callerPort())) {
			client.send("POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer "
					+ EntryFixture.API_KEY + "\r\nContent-Length: 100\r\n\r\n{\"model\":");
			String response = client.readUntil("\"ran\":\"no\"");
			assertThat(response).startsWith("HTTP/1.1 408");
		}
		// The engine has not executed a step of any request.
		assertThat(this.fixture.engines.get(0).ledger("")).isEmpty();
	}

	@Test
	void callerThatDoesNotReadIsDisconnectedAndFreesTheEngine() throws Exception {
		// A response of 60 MB exceeds all buffers between the engine and the caller.
		try (FakeEngine engine = new FakeEngine("f1",
				(request) -> IntStream.range(0, 600)
					.mapToObj((position) -> FakeEngine.token(request, 1, position, "x".repeat(100_000)))
					.toList())) {
			this.fixture.flag("--write-timeout-ms", 300)
				.backendServer("f1", engine.address(), BackendServerKind.ENGINE, "engines")
				.start();
			try (RawClient client = new RawClient(this.fixture.host.callerPort())) {
				client.post("/v1/chat/completions", EntryFixture.chatBody("report", "a", 200, true));
				EntryFixture.await("engine stream broken", () -> engine.brokenStreamCount() == 1);
			}
			EntryFixture.await("request counted with outcome cut", () -> this.fixture
				.metric("medlardrum_requests_total{organisation=\"coop\",outcome=\"cut\",rank=\"urgent\"}") == 1);
		}
	}

	@Test
	void drainCompletesTheRequestInProgressAndRefusesOthers() throws Exception {
		startSlowEngine();
		try (RawClient client = new RawClient(this.fixture.host.callerPort())) {
			client.post("/v1/chat/completions", EntryFixture.chatBody("report", "drain", 60, true));
			client.readUntil("data: ");
			assertThat(this.fixture.postAdmin("/drain").statusCode()).isEqualTo(202);
			EntryFixture.await("host not ready", () -> this.fixture.get("/readyz").statusCode() == 503);
			EntryFixture.await("new requests refused",
					() -> this.fixture.chat("x", 1, false).body().contains("draining"));
			String events = client.readUntil("0\r\n\r\n");
			assertThat(EntryFixture.streamedText(events)).isEqualTo(EntryFixture.expectedText("drain", 60) + "[DONE]");
		}
		EntryFixture.await("no request in progress",
				() -> this.fixture.get("/status").body().contains("\"inFlight\":0"));
		this.fixture.postAdmin("/undrain");
		assertThat(this.fixture.chat("x", 1, false).statusCode()).isEqualTo(200);
		// Unlike a drain by an operator, a drain by the process stops the host.
		this.fixture.host.drain();
		this.fixture.host.awaitStopped();
	}

	@Test
	void undrainAcceptsNewRequestsAgain() throws Exception {
		this.fixture.flag("--drain-delay-ms", 60_000);
		startSlowEngine();
		this.fixture.postAdmin("/drain");
		EntryFixture.await("host not ready", () -> this.fixture.get("/readyz").statusCode() == 503);
		this.fixture.postAdmin("/undrain");
		assertThat(this.fixture.get("/readyz").statusCode()).isEqualTo(200);
		assertThat(this.fixture.chat("x", 1, false).statusCode()).isEqualTo(200);
	}

	@Test
	void floodIsPartlyRefusedAndAcceptedRequestsComplete() throws Exception {
		this.fixture.engine("e1", 0, 8, (json) -> {
			json.addProperty("layerTimeUs", 3000);
			json.addProperty("slots", 2);
		}).start();
		int requests = 100;
		CompletableFuture<?>[] callers = new CompletableFuture<?>[requests];
		AtomicInteger completed = new AtomicInteger();
		AtomicInteger refused = new AtomicInteger();
		for (int i = 0; i < requests; i++) {
			String prompt = "flood " + i;
			callers[i] = CompletableFuture.runAsync(() -> {
				HttpResponse<String> response = this.fixture.chat(prompt, 10, false);
				if (response.statusCode() == 200) {
					assertThat(EntryFixture.completionText(response)).isEqualTo(EntryFixture.expectedText(prompt, 10));
					completed.incrementAndGet();
				}
				else {
					assertThat(response.body()).contains("problem:overloaded");
					assertThat(response.headers().firstValue("Retry-After")).isPresent();
					refused.incrementAndGet();
				}
			}, (task) -> Thread.ofVirtual().start(task));
		}
		CompletableFuture.allOf(callers).join();
		assertThat(completed.get()).isAtLeast(1);
		assertThat(refused.get()).isAtLeast(1);
		assertThat(completed.get() + refused.get()).isEqualTo(requests);
	}

}
