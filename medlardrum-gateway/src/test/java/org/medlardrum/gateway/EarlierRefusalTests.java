package org.medlardrum.gateway;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an earlier refusal that a server writes once more: a request that may
 * have run would be refused, or run at a second server.
 */
class EarlierRefusalTests {

	private static final String ANSWER = "HTTP/1.1 200 x\r\ncontent-length: 4\r\nproof: p\r\nid: r1\r\n\r\nmade";

	private static final String CUT = "HTTP/1.1 200 x\r\ncontent-length: 500\r\nproof: p\r\nid: r1\r\n\r\nma";

	private GatewayFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture().configured();
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private static String refusal(String id) {
		return "HTTP/1.1 503 x\r\ncontent-length: 0\r\nnot-run: 1\r\n" + ((id.isEmpty()) ? "" : "id: " + id + "\r\n")
				+ "\r\n";
	}

	@ParameterizedTest
	@CsvSource({ "'', '', ledger, /unsafe/1", "'', other, ledger, /unsafe/1", "cut, r1, ledger, /unsafe/1",
			"'', '', pool, /once/1", "'', other, pool, /once/1", "cut, r1, pool, /once/1" })
	void refusalThatIsNotTheRequestsOwnIsNoPromise(String before, String id, String service, String path)
			throws Exception {
		String bytes = ((before.isEmpty()) ? "" : CUT) + refusal(id);
		try (FakeBackend faulty = new FakeBackend((head, socket, out) -> FakeBackend.write(out, bytes + ANSWER));
				FakeBackend other = new FakeBackend((head, socket, out) -> FakeBackend.write(out, ANSWER))) {
			this.fixture.register(service, "s1", faulty);
			if (service.equals("ledger")) {
				this.fixture.register(service, "s2", other);
			}
			assertThat(this.fixture.call("POST", path)).startsWith("HTTP/1.1 502");
			assertThat(faulty.requests()).hasSize(1);
			assertThat(other.requests()).isEmpty();
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "other", "r1" })
	void refusalBehindAnAnswerIsIgnored(String id) throws Exception {
		try (FakeBackend faulty = new FakeBackend((head, socket, out) -> FakeBackend.write(out, ANSWER + refusal(id)));
				FakeBackend other = new FakeBackend((head, socket, out) -> FakeBackend.write(out, ANSWER))) {
			this.fixture.register("ledger", "s1", faulty);
			this.fixture.register("ledger", "s2", other);
			String response = this.fixture.call("POST", "/unsafe/1");
			assertThat(response).startsWith("HTTP/1.1 200");
			assertThat(response).endsWith("made");
			assertThat(other.requests()).isEmpty();
		}
	}

}
