package org.medlardrum.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against servers that send bytes without end that are no response: a host would
 * read, and store, whatever comes until the deadline.
 */
class EndlessResponseTests {

	/**
	 * Limit of bytes that a server can send, above the largest response that is passed
	 * on, with what the sockets buffer.
	 */
	private static final long MAX_SENT_BYTES = 16L * 1024 * 1024;

	private static final int BLOCK_BYTES = 16 * 1024;

	private static final long TIMEOUT_S = 20;

	private static final String PLAIN_HEAD = "HTTP/1.1 200 x\r\nid: r1\r\nproof: p1\r\n";

	private static final String STREAM_HEAD = "HTTP/1.1 200 x\r\ncontent-type: text/event-stream\r\nid: r1\r\nproof: p1\r\n";

	private GatewayFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture().configured();
		// No deadline passes and no probe is due: only the limits end a response.
		this.fixture.pauseClock();
		this.fixture.confirm();
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	static Stream<Arguments> endlessResponses() {
		return Stream.of(response("/safe/1", "", "x"), response("/safe/1", "", "\r\n"), response("/safe/1", "", " "),
				response("/safe/1", "", "HTTP/1.1 100 Continue\r\n\r\n"),
				response("/safe/1", "HTTP/1.1 200 x\r\n", "a: b\r\n"),
				response("/safe/1", "HTTP/1.1 200 x\r\na: ", "b"), response("/safe/1", PLAIN_HEAD + "\r\n", "x"),
				response("/safe/1", PLAIN_HEAD + "transfer-encoding: chunked\r\n\r\n", "1"),
				response("/safe/1", PLAIN_HEAD + "transfer-encoding: chunked\r\n\r\n1;", "x"),
				response("/safe/1", PLAIN_HEAD + "transfer-encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"),
				response("/stream/1", "", "x"), response("/stream/1", "", "\r\n"),
				response("/stream/1", STREAM_HEAD + "\r\n", "x"), response("/stream/1", STREAM_HEAD + "\r\n", ":\n"),
				response("/stream/1", STREAM_HEAD + "\r\n", "data: x\n"),
				response("/stream/1", STREAM_HEAD + "transfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
				response("/stream/1", "HTTP/1.1 500 x\r\nid: r1\r\nproof: p1\r\n\r\n", "x"));
	}

	private static Arguments response(String path, String begin, String repeated) {
		return Arguments.of(path, begin, repeated);
	}

	private static void sendWithoutEnd(String begin, String repeated, OutputStream out, BlockingQueue<Long> sentBytes)
			throws IOException {
		byte[] block = repeated.repeat(Math.max(1, BLOCK_BYTES / repeated.length())).getBytes(StandardCharsets.UTF_8);
		long sent = 0;
		try {
			FakeBackend.write(out, begin);
			while (sent <= MAX_SENT_BYTES) {
				out.write(block);
				sent += block.length;
			}
		}
		finally {
			// The write fails once the gateway has closed the connection.
			sentBytes.add(sent);
		}
	}

	// Only the request is answered without end; a probe learns of no stalled engine.
	private static FakeBackend endlessServer(String begin, String repeated, BlockingQueue<Long> sentBytes)
			throws IOException {
		return new FakeBackend((head, socket, out) -> {
			if (head.startsWith("get /report")) {
				FakeBackend.response(200, "", "").handle(head, socket, out);
				return;
			}
			sendWithoutEnd(begin, repeated, out, sentBytes);
		});
	}

	@ParameterizedTest
	@MethodSource("endlessResponses")
	void endlessResponseIsCutAndFailsTheRequest(String path, String begin, String repeated) throws Exception {
		BlockingQueue<Long> sentBytes = new LinkedBlockingQueue<>();
		try (FakeBackend server = endlessServer(begin, repeated, sentBytes)) {
			boolean stream = path.startsWith("/stream");
			this.fixture.register((stream) ? "pool" : "ledger", "s1", server);
			String response = this.fixture.call((stream) ? "POST" : "GET", path);
			assertThat(response).startsWith("HTTP/1.1 502");
			assertThat(response).doesNotContain("proof: ");
			Long sent = sentBytes.poll(TIMEOUT_S, TimeUnit.SECONDS);
			assertThat(sent).isNotNull();
			assertThat(sent).isAtMost(MAX_SENT_BYTES);
		}
	}

}
