package org.medlardrum.gateway;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

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

	@Test
	void requestThatCrashesServersIsNotSentWithoutEnd() throws Exception {
		List<FakeBackend> servers = new ArrayList<>();
		try {
			for (int i = 0; i < CALLS; i++) {
				// Each server ends with the request, and another one starts in its place.
				FakeBackend server = new FakeBackend((head, socket, out) -> socket.close());
				servers.add(server);
				this.fixture.replace("pool", "e" + i, server);
				this.fixture.call("POST", "/stream/1");
				server.close();
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

}
