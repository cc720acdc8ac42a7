package org.medlardrum.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a host whose memory is filled by the responses of a faulty server to
 * many callers, so that the requests of others end without a response.
 */
class HeldBytesTests {

	private static final long LIMIT_BYTES = 4 * 1024 * 1024;

	/** The oldest response may grow to the size limit of responses. */
	private static final long LARGEST_RESPONSE_BYTES = 8 * 1024 * 1024;

	/** Each response may have received one part before it has to wait. */
	private static final long PART_BYTES = 64 * 1024;

	private static final int CALLERS = 200;

	private static final int SOUND_CALLS = 20;

	/** Together four times the share of a server. */
	private static final int LARGE_CALLS = 8;

	private static final int LARGE_BODY_BYTES = 512 * 1024;

	private static final int BLOCK_BYTES = 16 * 1024;

	private static final String HEAD = "HTTP/1.1 200 x\r\nid: r1\r\nproof: p1\r\n";

	private static final String CHUNKED = HEAD + "transfer-encoding: chunked\r\n\r\n";

	private static final String STREAM = HEAD + "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

	private GatewayFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture(GatewayFixture.RETRY_RATIO, GatewayFixture.RETRY_ALLOWANCE, LIMIT_BYTES)
			.configured();
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	static Stream<Arguments> endlessResponses() {
		String chunk = FakeBackend.chunk("x".repeat(BLOCK_BYTES));
		return Stream.of(Arguments.of("GET", "/safe/1", CHUNKED, chunk),
				Arguments.of("POST", "/unsafe/1", CHUNKED, chunk),
				Arguments.of("GET", "/safe/1", HEAD + "\r\n", "x".repeat(BLOCK_BYTES)),
				Arguments.of("GET", "/safe/1", HEAD, "a: b\r\n".repeat(1_000)),
				Arguments.of("POST", "/stream/1", HEAD, "a: b\r\n".repeat(1_000)),
				Arguments.of("GET", "/safe/1", "", "HTTP/1.1 100 Continue\r\n\r\n".repeat(100)),
				Arguments.of("GET", "/safe/1", CHUNKED + "0\r\n", "a: b\r\n".repeat(1_000)),
				Arguments.of("POST", "/stream/1", STREAM, chunk),
				Arguments.of("POST", "/stream/1", STREAM,
						FakeBackend.chunk("id: 1\ndata: " + "x".repeat(100) + "\n\n")),
				Arguments.of("POST", "/once/1", STREAM, FakeBackend.chunk(": x\n".repeat(100) + "\n")),
				Arguments.of("POST", "/stream/1", CHUNKED.replace("200", "500"), chunk));
	}

	private static FakeBackend endlessServer(String begin, String repeated) throws IOException {
		byte[] block = repeated.getBytes(StandardCharsets.UTF_8);
		return new FakeBackend((head, socket, out) -> {
			if (head.startsWith("get /report")) {
				FakeBackend.response(200, "", "").handle(head, socket, out);
				return;
			}
			FakeBackend.write(out, begin);
			sendWithoutEnd(out, block);
		});
	}

	// The write fails once the gateway has closed the connection.
	private static void sendWithoutEnd(OutputStream out, byte[] block) throws IOException {
		while (true) {
			out.write(block);
		}
	}

	private static FakeBackend soundServer(boolean stream) throws IOException {
		return new FakeBackend((stream)
				? (head, socket, out) -> FakeBackend.write(out,
						STREAM + FakeBackend.chunk("id: 1\ndata: x\n\n") + "0\r\n\r\n")
				: FakeBackend.response(200, "id: r1\r\nproof: p1\r\n", "x".repeat(BLOCK_BYTES)));
	}

	private static List<String> results(List<Future<String>> calls) throws Exception {
		List<String> results = new ArrayList<>();
		for (Future<String> call : calls) {
			results.add(call.get());
		}
		return results;
	}

	static Stream<Arguments> largeBodies() {
		return Stream.of("x", "\n", "\r\n", "0\r\n\r\n")
			.map((text) -> text.repeat(LARGE_BODY_BYTES / text.length()))
			.flatMap((body) -> Stream.of(Arguments.of("content-length: " + body.length() + "\r\n", body),
					Arguments.of("", body)));
	}

	/**
	 * Responses that together exceed the share of their server become whole one after the
	 * other.
	 */
	@ParameterizedTest
	@MethodSource("largeBodies")
	void largeResponsesOfASoundServerWaitForRoomAndAreWhole(String headers, String body) throws Exception {
		try (FakeBackend sound = new FakeBackend(
				(head, socket, out) -> FakeBackend.write(out, HEAD + headers + "\r\n" + body));
				ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
			this.fixture.register("ledger", "s1", sound);
			List<Future<String>> calls = new ArrayList<>();
			for (int i = 0; i < LARGE_CALLS; i++) {
				calls.add(callers.submit((Callable<String>) () -> this.fixture.call("POST", "/unsafe/1")));
			}
			for (String response : results(calls)) {
				assertThat(response).startsWith("HTTP/1.1 200");
				assertThat(response.endsWith("\r\n\r\n" + body)).isTrue();
			}
		}
		awaitNothingHeld();
	}

	@ParameterizedTest
	@MethodSource("endlessResponses")
	void endlessResponsesToManyCallersLeaveRoomForOthers(String method, String path, String begin, String repeated)
			throws Exception {
		boolean faultyPool = !path.startsWith("/safe") && !path.startsWith("/unsafe");
		try (FakeBackend faulty = endlessServer(begin, repeated);
				FakeBackend sound = soundServer(!faultyPool);
				ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
			this.fixture.register((faultyPool) ? "pool" : "ledger", "s1", faulty);
			this.fixture.register((faultyPool) ? "ledger" : "pool", "s2", sound);
			List<Future<String>> toFaulty = new ArrayList<>();
			for (int i = 0; i < CALLERS; i++) {
				toFaulty.add(callers.submit((Callable<String>) () -> this.fixture.call(method, path)));
			}
			for (int i = 0; i < SOUND_CALLS; i++) {
				String response = (faultyPool) ? this.fixture.call("GET", "/safe/1")
						: this.fixture.call("POST", "/stream/1");
				assertThat(response).startsWith("HTTP/1.1 200");
			}
			for (String response : results(toFaulty)) {
				assertThat(response).startsWith("HTTP/1.1 ");
				assertThat(response).doesNotContain("0\r\n\r\n");
			}
		}
		assertThat(this.fixture.gateway().peakHeldBytes())
			.isAtMost(LIMIT_BYTES + LARGEST_RESPONSE_BYTES + CALLERS * PART_BYTES);
		awaitNothingHeld();
	}

	// A response is held until its connection is closed.
	private void awaitNothingHeld() throws InterruptedException {
		for (int i = 0; i < 200 && this.fixture.gateway().heldBytes() > 0; i++) {
			Thread.sleep(10);
		}
		assertThat(this.fixture.gateway().heldBytes()).isEqualTo(0);
	}

}
