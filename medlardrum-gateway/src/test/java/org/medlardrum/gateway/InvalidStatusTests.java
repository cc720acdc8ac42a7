package org.medlardrum.gateway;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against passing on a response whose status is not one of a final HTTP response:
 * a server in trouble has sent it, and nothing is known of the request.
 */
class InvalidStatusTests {

	private static final String HEADERS = " x\r\nid: r1\r\nproof: p\r\ncontent-length: 4\r\nconnection: close\r\n\r\nbody";

	private static final List<String> PATHS = List.of("/safe/1", "/unsafe/1", "/once/1", "/stream/1");

	static Stream<String> statuses() {
		return Stream.of("000", "099", "0200", "204x", "101", "600", "999");
	}

	static Stream<Arguments> responses() {
		return statuses().flatMap((status) -> PATHS.stream().map((path) -> Arguments.of(status, path)));
	}

	private static FakeBackend.Script response(String status) {
		return (head, socket, out) -> FakeBackend.write(out, "HTTP/1.1 " + status + HEADERS);
	}

	private static String serviceOf(String path) {
		return (path.startsWith("/safe") || path.startsWith("/unsafe")) ? "ledger" : "pool";
	}

	@ParameterizedTest
	@MethodSource("responses")
	void invalidStatusIsNoResponseAndNoPromise(String status, String path) throws Exception {
		try (GatewayFixture fixture = new GatewayFixture().configured();
				FakeBackend server = new FakeBackend(response(status))) {
			fixture.replace(serviceOf(path), "s1", server);
			assertThat(fixture.call("POST", path)).startsWith("HTTP/1.1 502");
			if (path.startsWith("/unsafe") || path.startsWith("/once")) {
				assertThat(server.requests()).hasSize(1);
			}
		}
	}

	@ParameterizedTest
	@MethodSource("statuses")
	void idempotentRequestIsAnsweredByAnotherServer(String status) throws Exception {
		try (GatewayFixture fixture = new GatewayFixture().configured();
				FakeBackend troubled = new FakeBackend(response(status));
				FakeBackend sound = new FakeBackend(response("200"))) {
			fixture.register("ledger", "s1", troubled);
			fixture.register("ledger", "s2", sound);
			for (int i = 0; i < 4; i++) {
				assertThat(fixture.call("POST", "/safe/1")).startsWith("HTTP/1.1 200");
			}
		}
	}

}
