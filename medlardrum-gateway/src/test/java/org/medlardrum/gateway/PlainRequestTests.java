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
	void answerIsPassedOnWithProofAndOrganisation() throws Exception {
		try (FakeBackend backend = new FakeBackend(FakeBackend.answer(200, GOOD, "hello"))) {
			this.fixture.register("ledger", "s1", backend);
			String answer = this.fixture.call("GET", "/safe/1");
			assertThat(answer).startsWith("HTTP/1.1 200");
			assertThat(answer).contains("proof: p1");
			assertThat(answer).endsWith("hello");
			assertThat(backend.requests().getFirst()).contains("organisation: org-1");
			assertThat(backend.requests().getFirst()).contains("instance: s1");
			assertThat(backend.requests().getFirst()).doesNotContain("key:");
		}
	}

	@ParameterizedTest
	@CsvSource({ "GET, /safe/1", "POST, /unsafe/1" })
	void requestThatDidNotRunGoesToTheNextServer(String method, String path) throws Exception {
		try (FakeBackend full = new FakeBackend(FakeBackend.answer(503, "not-run: 1\r\n", ""));
				FakeBackend free = new FakeBackend(FakeBackend.answer(200, GOOD, "done"))) {
			this.fixture.register("ledger", "s1", full);
			this.fixture.register("ledger", "s2", free);
			assertThat(this.fixture.call(method, path)).endsWith("done");
		}
	}

	@Test
	void allServersFullIsARefusalWithATimeToComeBack() throws Exception {
		try (FakeBackend full = new FakeBackend(FakeBackend.answer(503, "not-run: 1\r\n", ""))) {
			this.fixture.register("ledger", "s1", full);
			String answer = this.fixture.call("POST", "/unsafe/1");
			assertThat(answer).startsWith("HTTP/1.1 503");
			assertThat(answer).contains("retry-after: ");
		}
	}

	@Test
	void lostAnswerOfANonIdempotentRequestIsNotSentAgain() throws Exception {
		try (FakeBackend cut = new FakeBackend((head, socket, out) -> socket.close());
				FakeBackend free = new FakeBackend(FakeBackend.answer(200, GOOD, "done"))) {
			this.fixture.register("ledger", "s1", cut);
			this.fixture.register("ledger", "s2", free);
			assertThat(this.fixture.call("POST", "/unsafe/1")).startsWith("HTTP/1.1 502");
			assertThat(free.requests()).isEmpty();
		}
	}

	@ParameterizedTest
	@CsvSource({ "other, 200", "r1, 200" })
	void answerThatIsForeignOrCutIsNotPassedOn(String id, int status) throws Exception {
		try (FakeBackend wrong = new FakeBackend((head, socket, out) -> FakeBackend.write(out,
				"HTTP/1.1 200 x\r\ncontent-length: 50\r\nproof: p1\r\nid: " + id + "\r\n\r\nhalf"))) {
			this.fixture.register("ledger", "s1", wrong);
			assertThat(this.fixture.call("POST", "/unsafe/1")).startsWith("HTTP/1.1 502");
		}
	}

	@Test
	void failureOfAnIdempotentRequestIsTriedAtAnotherServer() throws Exception {
		try (FakeBackend failing = new FakeBackend(FakeBackend.answer(500, GOOD, "no"));
				FakeBackend free = new FakeBackend(FakeBackend.answer(200, GOOD, "done"))) {
			this.fixture.register("ledger", "s1", failing);
			this.fixture.register("ledger", "s2", free);
			assertThat(this.fixture.call("GET", "/safe/1")).endsWith("done");
		}
	}

	@Test
	void silentServerGetsASecondOneBesideIt() throws Exception {
		try (FakeBackend silent = new FakeBackend((head, socket, out) -> TimeUnit.SECONDS.sleep(5));
				FakeBackend free = new FakeBackend(FakeBackend.answer(200, GOOD, "done"))) {
			this.fixture.register("ledger", "s1", silent);
			this.fixture.register("ledger", "s2", free);
			assertThat(this.fixture.call("GET", "/safe/1")).endsWith("done");
			assertThat(silent.requests()).hasSize(1);
		}
	}

	@Test
	void silentServerEndsWithTheRoutesTimeout() throws Exception {
		try (FakeBackend silent = new FakeBackend((head, socket, out) -> TimeUnit.SECONDS.sleep(9))) {
			this.fixture.register("ledger", "s1", silent);
			assertThat(this.fixture.call("POST", "/unsafe/1")).startsWith("HTTP/1.1 504");
		}
	}

}
