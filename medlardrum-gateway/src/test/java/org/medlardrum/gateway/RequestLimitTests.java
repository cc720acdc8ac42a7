package org.medlardrum.gateway;

import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a server that gets more requests than the limit that it has named.
 */
class RequestLimitTests {

	private static final double LIMIT_PER_S = 2;

	private static final int CALLS = 40;

	/** The users' rule: in some 4 s one and a half times the limit, and 5 requests. */
	private static final double ALLOWED_IN_4_S = 1.5 * LIMIT_PER_S * 4 + 5;

	private GatewayFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture().configured();
		this.fixture.pauseClock();
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private static FakeBackend server(AtomicBoolean limited) throws Exception {
		return new FakeBackend((head, socket, out) -> {
			String limit = (limited.get()) ? "limit: " + LIMIT_PER_S + "\r\n" : "";
			FakeBackend.response(200, "proof: p\r\nid: r1\r\n" + limit, "id: 1\n\n").handle(head, socket, out);
		});
	}

	@ParameterizedTest
	@ValueSource(strings = { "/safe/1", "/unsafe/1", "/stream/1", "/once/1" })
	void serverGetsNoMoreThanItsLimitAndTheRestIsRefusedAtOnce(String path) throws Exception {
		AtomicBoolean limited = new AtomicBoolean(true);
		try (FakeBackend server = server(limited)) {
			this.fixture.register((path.startsWith("/safe") || path.startsWith("/unsafe")) ? "ledger" : "pool", "s1",
					server);
			int served = 0;
			for (int i = 0; i < CALLS; i++) {
				String answer = this.fixture.call("POST", path);
				served += (answer.startsWith("HTTP/1.1 200")) ? 1 : 0;
				assertThat(answer).containsMatch("^HTTP/1.1 (200|503)");
				this.fixture.clockOffsetMs.addAndGet(4_000 / CALLS);
				this.fixture.confirm();
			}
			assertThat((double) server.requests().size()).isAtMost(ALLOWED_IN_4_S);
			assertThat(served).isAtLeast((int) (LIMIT_PER_S * 4 / 2));
			// The limit ends when the server stops naming it.
			limited.set(false);
			this.fixture.clockOffsetMs.addAndGet(1_000);
			this.fixture.confirm();
			for (int i = 0; i < CALLS; i++) {
				assertThat(this.fixture.call("POST", path)).startsWith("HTTP/1.1 200");
			}
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "/safe/1", "/stream/1" })
	void requestsMoveToAServerWithoutALimit(String path) throws Exception {
		String service = (path.startsWith("/safe")) ? "ledger" : "pool";
		try (FakeBackend limited = server(new AtomicBoolean(true));
				FakeBackend free = server(new AtomicBoolean(false))) {
			this.fixture.register(service, "s1", limited);
			this.fixture.register(service, "s2", free);
			for (int i = 0; i < CALLS; i++) {
				assertThat(this.fixture.call("POST", path)).startsWith("HTTP/1.1 200");
			}
			assertThat((double) limited.requests().size()).isAtMost(ALLOWED_IN_4_S);
		}
	}

}
