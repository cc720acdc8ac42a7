package org.medlardrum.gateway;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.medlardrum.state.routing.RequestLimits;
import org.medlardrum.state.routing.RoutingTable;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests served with a revoked API key, configurations that revert to an
 * older version, and refusals by a host whose configuration may be out of date.
 */
class AdmissionTests {

	private GatewayFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture();
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	@Test
	void hostWithoutConfigurationIsNotReadyAndRefuses() throws Exception {
		assertThat(this.fixture.readiness()).startsWith("HTTP/1.1 503");
		assertThat(this.fixture.call("GET", "/safe/1")).startsWith("HTTP/1.1 503");
		this.fixture.configured();
		assertThat(this.fixture.readiness()).startsWith("HTTP/1.1 200");
	}

	@ParameterizedTest
	@CsvSource({ "/none/1, k1, 404", "/safe/1, k2, 401", "/safe/1, , 401" })
	void unknownRouteAndKeyAreRefusedWhileFresh(String path, String key, int status) throws Exception {
		this.fixture.configured();
		String headers = (key != null) ? "key: " + key + "\r\n" : "";
		assertThat(this.fixture.callWith("GET", path, headers)).startsWith("HTTP/1.1 " + status);
	}

	@ParameterizedTest
	@CsvSource({ "/none/1, k1", "/safe/1, k2", "/safe/1, k1" })
	void hostWithStaleConfigurationRefusesWithRetryAfter(String path, String key) throws Exception {
		this.fixture.configured();
		// More than GatewayFixture.KEY_FRESHNESS_MS.
		this.fixture.clockOffsetMs.addAndGet(5_000);
		assertThat(this.fixture.readiness()).startsWith("HTTP/1.1 503");
		String response = this.fixture.callWith("GET", path, "key: " + key + "\r\n");
		assertThat(response).startsWith("HTTP/1.1 503");
		assertThat(response).contains("retry-after: ");
	}

	@Test
	void olderConfigurationDoesNotReplaceANewerOne() throws Exception {
		this.fixture.gateway().configure(GatewayFixture.table(7));
		this.fixture.gateway()
			.configure(new RoutingTable(6, List.of(), List.of(), false, Map.of(), RequestLimits.DEFAULT));
		this.fixture.confirm();
		assertThat(this.fixture.call("GET", "/safe/1")).doesNotContain(" 404 ");
	}

	@Test
	void drainingHostIsNotReadyAndClosesItsConnections() throws Exception {
		this.fixture.configured();
		Thread stopping = Thread.ofVirtual().start(() -> this.fixture.gateway().shutDown());
		while (!this.fixture.readiness().startsWith("HTTP/1.1 503")) {
			Thread.onSpinWait();
		}
		assertThat(this.fixture.call("GET", "/none/1")).contains("connection: close");
		stopping.join();
	}

	/**
	 * Guards against refusing requests during a restart of all hosts: a caller that
	 * retried while its host was still loading the configuration was refused and had no
	 * retry left.
	 */
	@Test
	void requestDuringStartupWaitsForTheConfiguration() throws Exception {
		try (FakeBackend backend = new FakeBackend(FakeBackend.response(200, "id: r1\r\nproof: p1\r\n", "done"))) {
			Thread.ofVirtual().start(() -> {
				pauseMs(200);
				this.fixture.register("ledger", "s1", backend);
				this.fixture.configured();
			});
			assertThat(this.fixture.call("GET", "/safe/1")).startsWith("HTTP/1.1 200");
		}
	}

	@Test
	void requestOfADisconnectedCallerDuringStartupIsNotServed() throws Exception {
		try (FakeBackend backend = new FakeBackend(FakeBackend.response(200, "id: r1\r\nproof: p1\r\n", "done"))) {
			this.fixture.send("GET", "/safe/1", "key: k1\r\n").close();
			pauseMs(100);
			this.fixture.register("ledger", "s1", backend);
			this.fixture.configured();
			assertThat(this.fixture.call("GET", "/safe/1")).startsWith("HTTP/1.1 200");
			assertThat(backend.requests()).hasSize(1);
		}
	}

	private static void pauseMs(long timeMs) {
		try {
			Thread.sleep(timeMs);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
