package org.medlardrum.entry;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.standins.ServiceStandIn;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against non-idempotent calls, such as a calf registration or a booking, that run
 * twice, and against refusals that claim that a request did not run although it may have.
 */
class ServiceFailureTests {

	private final EntryFixture fixture = new EntryFixture();

	/** Path of the calls that {@link #executions} counts. */
	private String path = "/calves";

	@BeforeEach
	void start() throws Exception {
		this.fixture.service("s1").service("s2").start();
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private int executions() {
		return this.fixture.services.stream()
			.flatMap((service) -> service.executions().stream())
			.filter((execution) -> execution.path().equals(this.path))
			.mapToInt((execution) -> execution.count())
			.sum();
	}

	private void loseResponses(int count) {
		this.fixture.services.forEach((service) -> service.loseResponses(count));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "key-1" })
	void lostResponseOfANonIdempotentCallIsUnknownAndNotRetried(String key) {
		loseResponses(1);
		HttpResponse<String> response = this.fixture.post("/calves", (key.isEmpty()) ? null : key, "{}");
		assertThat(response.statusCode()).isEqualTo(502);
		assertThat(response.body()).contains("\"ran\":\"unknown\"");
		assertThat(executions()).isEqualTo(1);
	}

	@Test
	void retryAfterALostResponseDoesNotRun() {
		loseResponses(1);
		this.fixture.post("/calves", "key-1", "{}");
		HttpResponse<String> retry = this.fixture.post("/calves", "key-1", "{}");
		assertThat(retry.statusCode()).isEqualTo(409);
		assertThat(retry.body()).contains("\"ran\":\"unknown\"");
		assertThat(executions()).isEqualTo(1);
	}

	@Test
	void lostResponseOfAnIdempotentCallIsRetried() {
		loseResponses(1);
		this.path = "/herds/1";
		HttpResponse<String> response = this.fixture.send(this.fixture.request("/herds/1", EntryFixture.API_KEY));
		assertThat(response.statusCode()).isEqualTo(200);
		assertThat(executions()).isAtLeast(2);
	}

	@ParameterizedTest
	@ValueSource(strings = { "leaving", "down" })
	void callThatDidNotRunIsSentToAnotherServerOnce(String fault) {
		ServiceStandIn first = this.fixture.services.get(0);
		if (fault.equals("leaving")) {
			first.setLeaving(true);
		}
		else {
			first.crash();
		}
		for (int i = 0; i < 10; i++) {
			assertThat(this.fixture.post("/calves", "key-" + i, "{}").statusCode()).isEqualTo(200);
		}
		assertThat(executions()).isEqualTo(10);
	}

	@Test
	void callWithoutUsableServerDidNotRunAndMayBeRetriedWithItsKey() {
		this.fixture.services.forEach((service) -> service.setLeaving(true));
		HttpResponse<String> refused = this.fixture.post("/calves", "key-1", "{}");
		assertThat(refused.statusCode()).isEqualTo(503);
		assertThat(refused.body()).contains("\"ran\":\"no\"");
		assertThat(refused.headers().firstValue("Retry-After")).isPresent();
		this.fixture.services.forEach((service) -> service.setLeaving(false));
		EntryFixture.await("retried call runs", () -> this.fixture.post("/calves", "key-1", "{}").statusCode() == 200);
		assertThat(executions()).isEqualTo(1);
	}

	@Test
	void keyedCallIsRefusedAsNotRunDuringAnOutageOfThePlatform() {
		this.fixture.platform.setOutage(true);
		HttpResponse<String> refused = this.fixture.post("/calves", "key-1", "{}");
		assertThat(refused.statusCode()).isEqualTo(503);
		assertThat(refused.body()).contains("problem:claims-unavailable");
		assertThat(refused.body()).contains("\"ran\":\"no\"");
		assertThat(executions()).isEqualTo(0);
		assertThat(this.fixture.send(this.fixture.request("/herds/1", EntryFixture.API_KEY)).statusCode())
			.isEqualTo(200);
		this.fixture.platform.setOutage(false);
		EntryFixture.await("retried call runs", () -> this.fixture.post("/calves", "key-1", "{}").statusCode() == 200);
		assertThat(executions()).isEqualTo(1);
	}

	@Test
	void callerThatDisconnectsDoesNotMakeTheOutcomeUnknown() throws Exception {
		this.fixture.services.forEach((service) -> service.setDelayMs(300));
		try (RawClient client = new RawClient(this.fixture.host.callerPort())) {
			client.send("POST /calves HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + EntryFixture.API_KEY
					+ "\r\nIdempotency-Key: key-1\r\nContent-Length: 2\r\n\r\n{}");
			EntryFixture.await("call running", () -> executions() == 1);
		}
		EntryFixture.await("outcome recorded", () -> this.fixture.post("/calves", "key-1", "{}").statusCode() == 200);
		assertThat(executions()).isEqualTo(1);
	}

	@Test
	void concurrentRetriesRunOnce() {
		this.fixture.services.forEach((service) -> service.setDelayMs(100));
		CompletableFuture<?>[] retries = new CompletableFuture<?>[8];
		for (int i = 0; i < retries.length; i++) {
			retries[i] = CompletableFuture.runAsync(() -> this.fixture.post("/calves", "key-1", "{}"));
		}
		CompletableFuture.allOf(retries).join();
		assertThat(executions()).isEqualTo(1);
	}

}
