package org.medlardrum.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.ServiceInstance;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a server whose address cannot be used that makes requests fail although
 * another server could answer them.
 */
class UnusableAddressTests {

	private static final int REQUESTS = 10;

	private static final String STREAM = "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n"
			+ "content-type: text/event-stream\r\nid: r1\r\nproof: p\r\n\r\n" + FakeBackend.chunk("id: 1\ndata: e1\n\n")
			+ "0\r\n\r\n";

	private GatewayFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture().configured();
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private static ServiceInstance instance(String service, String id, String address) {
		return new ServiceInstance(id, service, address, "a", 8, false, 1, "fast",
				(service.equals("pool")) ? Optional.of(new LayerRange(0, 8)) : Optional.empty());
	}

	@ParameterizedTest
	@ValueSource(strings = { "127.0.0.1:99999", "", "127.0.0.1", "127.0.0.1:-1", "localhost:80", "[::1", " ",
			"999.1.1.1:80" })
	void requestsAreServedByTheOtherServer(String address) throws Exception {
		try (FakeBackend plain = new FakeBackend(FakeBackend.response(200, "id: r1\r\nproof: p\r\n", "whole"));
				FakeBackend engine = new FakeBackend((head, socket, out) -> FakeBackend.write(out, STREAM))) {
			this.fixture.gateway()
				.updateInstances(List.of(instance("ledger", "s1", address), instance("ledger", "s2", plain.address()),
						instance("pool", "e1", address), instance("pool", "e2", engine.address())));
			List<String> failed = new ArrayList<>();
			for (int i = 0; i < REQUESTS; i++) {
				for (String path : List.of("/safe/", "/unsafe/", "/stream/", "/once/")) {
					String response = this.fixture.call("POST", path + i);
					if (!response.startsWith("HTTP/1.1 200")) {
						failed.add(path + i + ": " + response.lines().findFirst().orElse("closed"));
					}
				}
			}
			assertThat(failed).isEmpty();
		}
	}

}
