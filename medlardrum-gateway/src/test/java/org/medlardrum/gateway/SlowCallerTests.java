package org.medlardrum.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a stream that is cut off because its caller reads slowly.
 */
class SlowCallerTests {

	private static final int DATA_BYTES = 16_000;

	private static final long PAUSE_MS = 1_500;

	private GatewayFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture().configured();
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private static FakeBackend stream(int events) throws IOException {
		return new FakeBackend((head, socket, out) -> {
			FakeBackend.write(out, "HTTP/1.1 200 x\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
					+ "id: r1\r\nproof: p1\r\n\r\n");
			for (int id = 1; id <= events; id++) {
				FakeBackend.write(out, FakeBackend.chunk("id: " + id + "\ndata: " + "x".repeat(DATA_BYTES) + "\n\n"));
			}
			FakeBackend.write(out, "0\r\n\r\n");
		});
	}

	@ParameterizedTest
	@ValueSource(ints = { 209, 1_000 })
	void slowCallerReceivesTheWholeStream(int events) throws Exception {
		try (FakeBackend engine = stream(events); Socket socket = new Socket()) {
			this.fixture.register("pool", "e1", engine);
			socket.setReceiveBufferSize(4_096);
			socket.setSoTimeout(8_000);
			socket
				.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.fixture.gateway().callerPort()));
			FakeBackend.write(socket.getOutputStream(),
					"GET /stream/1 HTTP/1.1\r\nhost: test\r\nid: r1\r\nkey: k1\r\n" + "connection: close\r\n\r\n");
			TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
			String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			assertThat(response).contains("id: " + events + "\n");
			assertThat(response).endsWith("0\r\n\r\n");
		}
	}

}
