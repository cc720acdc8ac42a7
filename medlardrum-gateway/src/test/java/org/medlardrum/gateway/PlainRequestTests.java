package org.medlardrum.gateway;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a non-idempotent request that is executed twice, a wrong refusal, and a
 * response that does not come from the backend server.
 */
class PlainRequestTests {

	private static final String GOOD = "id: r1\r\nproof: p1\r\n";

	private GatewayFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture().configured();
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	@Test
	void responseIsPassedOnWithProofAndOrganisation() throws Exception {
		try (FakeBackend backend = new FakeBackend(FakeBackend.response(200, GOOD, "hello"))) {
			this.fixture.register("ledger", "s1", backend);
			String response = this.fixture.call("GET", "/safe/1");
			assertThat(response).startsWith("HTTP/1.1 200");
			assertThat(response).contains("proof: p1");
			assertThat(response).endsWith("hello");
			assertThat(backend.requests().getFirst()).contains("organisation: org-1");
			assertThat(backend.requests().getFirst()).contains("instance: s1");
			assertThat(backend.requests().getFirst()).doesNotContain("key:");
		}
	}

	@ParameterizedTest
	@CsvSource({ "GET, /safe/1", "POST, /unsafe/1" })
	void requestThatWasNotExecutedIsRetriedAtTheNextServer(String method, String path) throws Exception {
		try (FakeBackend full = new FakeBackend(FakeBackend.response(503, "id: r1\r\nnot-run: 1\r\n", ""));
				FakeBackend free = new FakeBackend(FakeBackend.response(200, GOOD, "done"))) {
			this.fixture.register("ledger", "s1", full);
			this.fixture.register("ledger", "s2", free);
			assertThat(this.fixture.call(method, path)).endsWith("done");
		}
	}

	@Test
	void requestIsRefusedWithRetryAfterWhenAllServersAreFull() throws Exception {
		try (FakeBackend full = new FakeBackend(FakeBackend.response(503, "id: r1\r\nnot-run: 1\r\n", ""))) {
			this.fixture.register("ledger", "s1", full);
			String response = this.fixture.call("POST", "/unsafe/1");
			assertThat(response).startsWith("HTTP/1.1 503");
			assertThat(response).contains("retry-after: ");
		}
	}

	@Test
	void nonIdempotentRequestIsNotRetriedAfterALostResponse() throws Exception {
		try (FakeBackend closing = new FakeBackend((head, socket, out) -> socket.close());
				FakeBackend free = new FakeBackend(FakeBackend.response(200, GOOD, "done"))) {
			this.fixture.register("ledger", "s1", closing);
			this.fixture.register("ledger", "s2", free);
			assertThat(this.fixture.call("POST", "/unsafe/1")).startsWith("HTTP/1.1 502");
			assertThat(free.requests()).isEmpty();
		}
	}

	@ParameterizedTest
	@CsvSource({ "other, 200", "r1, 200" })
	void foreignOrTruncatedResponseIsNotPassedOn(String id, int status) throws Exception {
		try (FakeBackend faulty = new FakeBackend((head, socket, out) -> FakeBackend.write(out,
				"HTTP/1.1 200 x\r\ncontent-length: 50\r\nproof: p1\r\nid: " + id + "\r\n\r\nhalf"))) {
			this.fixture.register("ledger", "s1", faulty);
			assertThat(this.fixture.call("POST", "/unsafe/1")).startsWith("HTTP/1.1 502");
		}
	}

	@Test
	void failedIdempotentRequestIsRetriedAtAnotherServer() throws Exception {
		try (FakeBackend failing = new FakeBackend(FakeBackend.response(500, GOOD, "no"));
				FakeBackend free = new FakeBackend(FakeBackend.response(200, GOOD, "done"))) {
			this.fixture.register("ledger", "s1", failing);
			this.fixture.register("ledger", "s2", free);
			assertThat(this.fixture.call("GET", "/safe/1")).endsWith("done");
		}
	}

	@Test
	void idempotentRequestIsHedgedWhenTheServerIsUnresponsive() throws Exception {
		try (FakeBackend unresponsive = new FakeBackend((head, socket, out) -> TimeUnit.SECONDS.sleep(5));
				FakeBackend free = new FakeBackend(FakeBackend.response(200, GOOD, "done"))) {
			this.fixture.register("ledger", "s1", unresponsive);
			this.fixture.register("ledger", "s2", free);
			assertThat(this.fixture.call("GET", "/safe/1")).endsWith("done");
			assertThat(unresponsive.requests()).hasSize(1);
		}
	}

	@Test
	void requestToAnUnresponsiveServerEndsWithTheRoutesTimeout() throws Exception {
		try (FakeBackend unresponsive = new FakeBackend((head, socket, out) -> TimeUnit.SECONDS.sleep(9))) {
			this.fixture.register("ledger", "s1", unresponsive);
			assertThat(this.fixture.call("POST", "/unsafe/1")).startsWith("HTTP/1.1 504");
		}
	}

}
