package org.medlardrum.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a request that crashes each server that runs it and that its caller
 * sends again and again.
 */
class CrashingRequestTests {

	/** Crashes after which it is clear that the request is the cause. */
	private static final int CRASHES = 3;

	/** Further sends that the users' rules tolerate. */
	private static final int TOLERATED_SENDS = 3;

	private static final int CALLS = 12;

	private GatewayFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture().configured();
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	// Nobody listens at the address of a server that has crashed.
	private static FakeBackend crashingServer() throws Exception {
		AtomicReference<FakeBackend> self = new AtomicReference<>();
		FakeBackend server = new FakeBackend((head, socket, out) -> {
			self.get().close();
			socket.close();
		});
		self.set(server);
		return server;
	}

	@Test
	void requestThatCrashesServersIsNotSentWithoutEnd() throws Exception {
		List<FakeBackend> servers = new ArrayList<>();
		try {
			for (int i = 0; i < CALLS; i++) {
				// Each server ends with the request, and another one starts in its place.
				FakeBackend server = crashingServer();
				servers.add(server);
				this.fixture.replace("pool", "e" + i, server);
				this.fixture.call("POST", "/stream/1");
			}
			int sends = servers.stream().mapToInt((server) -> server.requests().size()).sum();
			assertThat(sends).isAtMost(CRASHES + TOLERATED_SENDS);
		}
		finally {
			for (FakeBackend server : servers) {
				server.close();
			}
		}
	}

	/**
	 * Guards against taking all crashes of a server that keeps its identifier for one.
	 */
	@ParameterizedTest
	@CsvSource({ "pool, POST /stream/1", "ledger, POST /safe/1", "ledger, POST /unsafe/1" })
	void requestThatCrashesEachStartOfAServerIsNotSentWithoutEnd(String service, String request) throws Exception {
		List<FakeBackend> starts = new ArrayList<>();
		try {
			for (int i = 0; i < CALLS; i++) {
				FakeBackend server = crashingServer();
				starts.add(server);
				if (i == 0) {
					this.fixture.register(service, "s1", server);
				}
				else {
					this.fixture.restart("s1", server);
				}
				this.fixture.call(request.split(" ")[0], request.split(" ")[1]);
			}
			int sends = starts.stream().mapToInt((server) -> server.requests().size()).sum();
			assertThat(sends).isAtMost(CRASHES + TOLERATED_SENDS);
		}
		finally {
			for (FakeBackend server : starts) {
				server.close();
			}
		}
	}

	/**
	 * A server that refuses a request has not begun to answer it.
	 */
	@Test
	void refusalBetweenCrashesDoesNotClearTheRequest() throws Exception {
		List<FakeBackend> servers = new ArrayList<>();
		try {
			for (int i = 0; i < CALLS; i++) {
				FakeBackend crashing = crashingServer();
				servers.add(crashing);
				this.fixture.replace("ledger", "c" + i, crashing);
				this.fixture.call("POST", "/safe/1");
				try (FakeBackend refusing = new FakeBackend(
						FakeBackend.response(503, "proof: p\r\nid: r1\r\nnot-run: 1\r\n", ""))) {
					this.fixture.replace("ledger", "r" + i, refusing);
					this.fixture.call("POST", "/safe/1");
				}
			}
			int sends = servers.stream().mapToInt((server) -> server.requests().size()).sum();
			assertThat(sends).isAtMost(CRASHES + TOLERATED_SENDS);
		}
		finally {
			for (FakeBackend server : servers) {
				server.close();
			}
		}
	}

	/**
	 * A server that breaks off answers and goes on working has not crashed.
	 */
	@Test
	void requestWhoseAnswersAreBrokenOffIsNotQuarantined() throws Exception {
		try (FakeBackend server = new FakeBackend((head, socket, out) -> socket.close())) {
			this.fixture.register("pool", "e1", server);
			for (int i = 0; i < CALLS; i++) {
				assertThat(this.fixture.call("POST", "/stream/1")).startsWith("HTTP/1.1 502");
			}
			assertThat(server.requests().size()).isAtLeast(CALLS);
		}
	}

}
