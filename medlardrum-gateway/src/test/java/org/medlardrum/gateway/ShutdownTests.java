package org.medlardrum.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a process that is still there at the end of its grace period, and
 * against responses that are cut off although the grace period has not ended.
 */
class ShutdownTests {

	private static final String GOOD = "id: r1\r\nproof: p1\r\n";

	private static final int LARGE_BODY_BYTES = 6_000_000;

	/**
	 * Part of {@link GatewayFixture#SHUTDOWN_MS} that a shutdown without requests needs.
	 */
	private static final long IDLE_SHUTDOWN_MS = 3_300;

	/** Time of a request whose deadline is after the end of the shutdown. */
	private static final long LATE_REQUEST_MS = 2_000;

	/** A host admits requests for 2.9 s after the stop request. */
	private static final long AFTER_ADMISSION_MS = 3_100;

	private static final int KEPT_CONNECTIONS = 60;

	/** Time of the first request shortly before the connections are closed. */
	private static final long BEFORE_CLOSE_MS = 2_500;

	private static final long CLOSE_STEP_MS = 8;

	private final List<Socket> sockets = new ArrayList<>();

	private GatewayFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture().configured();
	}

	@AfterEach
	void stop() throws IOException {
		for (Socket socket : this.sockets) {
			socket.close();
		}
		this.fixture.close();
	}

	private CompletableFuture<Long> shutDown() {
		long startNs = System.nanoTime();
		return CompletableFuture.supplyAsync(() -> {
			this.fixture.gateway().shutDown();
			return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
		});
	}

	private Socket keptConnection(int port, String path) throws IOException {
		Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
		this.sockets.add(socket);
		socket.setSoTimeout(8_000);
		request(socket, path);
		assertThat(readHead(socket)).startsWith("HTTP/1.1 ");
		return socket;
	}

	private static void request(Socket socket, String path) throws IOException {
		FakeBackend.write(socket.getOutputStream(),
				"GET " + path + " HTTP/1.1\r\nhost: test\r\nid: r1\r\nkey: k1\r\n\r\n");
	}

	private static String readHead(Socket socket) throws IOException {
		StringBuilder head = new StringBuilder();
		InputStream in = socket.getInputStream();
		for (int next = in.read(); next >= 0; next = in.read()) {
			head.append((char) next);
			if (head.toString().endsWith("\r\n\r\n")) {
				break;
			}
		}
		return head.toString();
	}

	private FakeBackend endlessStream() throws IOException {
		return new FakeBackend((head, socket, out) -> {
			FakeBackend.write(out, "HTTP/1.1 200 x\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
					+ GOOD + "\r\n");
			for (int id = 1; id < 1_000; id++) {
				FakeBackend.write(out, FakeBackend.chunk("id: " + id + "\ndata: x\n\n"));
				TimeUnit.MILLISECONDS.sleep(20);
			}
		});
	}

	/**
	 * The limits are the times that the shutdown may take at most, with half a second for
	 * a busy machine.
	 */
	@ParameterizedTest
	@CsvSource({ "false, 3350", "true, 4500" })
	void openConnectionsDoNotDelayTheEnd(boolean streaming, long limitMs) throws Exception {
		try (FakeBackend engine = endlessStream();
				FakeBackend backend = new FakeBackend(FakeBackend.response(200, GOOD, ""))) {
			this.fixture.register("pool", "e1", engine);
			this.fixture.register("ledger", "s1", backend);
			keptConnection(this.fixture.gateway().callerPort(), "/safe/1");
			keptConnection(this.fixture.gateway().relayPort(), "/safe/1");
			keptConnection(this.fixture.gateway().readinessPort(), "/ready");
			CompletableFuture<Long> end = shutDown();
			if (streaming) {
				TimeUnit.MILLISECONDS.sleep(LATE_REQUEST_MS);
				keptConnection(this.fixture.gateway().callerPort(), "/stream/1");
				keptConnection(this.fixture.gateway().relayPort(), "/stream/1");
			}
			assertThat(end.get()).isAtMost(limitMs);
		}
	}

	@Test
	void requestInProgressAtTheEndGetsAnAnswer() throws Exception {
		try (FakeBackend silent = new FakeBackend((head, socket, out) -> TimeUnit.SECONDS.sleep(8))) {
			this.fixture.register("ledger", "s1", silent);
			CompletableFuture<Long> end = shutDown();
			TimeUnit.MILLISECONDS.sleep(LATE_REQUEST_MS);
			String response = this.fixture.call("POST", "/unsafe/1");
			assertThat(silent.requests()).hasSize(1);
			assertThat(response).startsWith("HTTP/1.1 502");
			assertThat(response).contains("The host stops");
			end.get();
		}
	}

	/**
	 * In a calm stop, another request keeps the host from ending before its grace is
	 * over.
	 */
	@ParameterizedTest
	@CsvSource({ "POST, /unsafe/2", "POST, /once/2", "GET, /safe/2" })
	void requestLateInTheGraceIsRefusedAtOnceAndNotPassedOn(String method, String path) throws Exception {
		try (FakeBackend silent = new FakeBackend((head, socket, out) -> TimeUnit.SECONDS.sleep(8))) {
			this.fixture.register("ledger", "s1", silent);
			this.fixture.register("pool", "e1", silent);
			CompletableFuture<Long> end = shutDown();
			TimeUnit.MILLISECONDS.sleep(LATE_REQUEST_MS);
			Socket early = this.fixture.send("POST", "/unsafe/1", "key: k1\r\n");
			this.sockets.add(early);
			TimeUnit.MILLISECONDS.sleep(AFTER_ADMISSION_MS - LATE_REQUEST_MS);
			String response = this.fixture.call(method, path);
			assertThat(response).startsWith("HTTP/1.1 503");
			assertThat(response.toLowerCase(Locale.ROOT)).contains("retry-after:");
			assertThat(silent.requests().stream().filter((head) -> head.contains(path)).toList()).isEmpty();
			assertThat(readHead(early)).startsWith("HTTP/1.1 502");
			end.get();
		}
	}

	@Test
	void slowCallerReceivesItsWholeResponse() throws Exception {
		String body = "x".repeat(LARGE_BODY_BYTES);
		try (FakeBackend backend = new FakeBackend(FakeBackend.response(200, GOOD, body));
				Socket socket = new Socket()) {
			this.fixture.register("ledger", "s1", backend);
			socket.setReceiveBufferSize(4_096);
			socket.setSoTimeout(8_000);
			socket
				.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.fixture.gateway().callerPort()));
			request(socket, "/safe/1");
			assertThat(socket.getInputStream().read()).isEqualTo('H');
			CompletableFuture<Long> end = shutDown();
			TimeUnit.MILLISECONDS.sleep(IDLE_SHUTDOWN_MS);
			String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			assertThat(response.length()).isGreaterThan(LARGE_BODY_BYTES);
			end.get();
		}
	}

	@Test
	void requestDuringTheCloseIsNotPassedOnWithoutAnAnswer() throws Exception {
		try (FakeBackend backend = new FakeBackend(FakeBackend.response(200, GOOD, ""))) {
			this.fixture.register("ledger", "s1", backend);
			List<Socket> kept = new ArrayList<>();
			for (int i = 0; i < KEPT_CONNECTIONS; i++) {
				kept.add(keptConnection(this.fixture.gateway().callerPort(), "/safe/1"));
			}
			int passedOnBefore = backend.requests().size();
			CompletableFuture<Long> end = shutDown();
			TimeUnit.MILLISECONDS.sleep(BEFORE_CLOSE_MS);
			int answered = 0;
			for (Socket socket : kept) {
				answered += (isAnswered(socket)) ? 1 : 0;
				TimeUnit.MILLISECONDS.sleep(CLOSE_STEP_MS);
			}
			end.get();
			assertThat(backend.requests().size() - passedOnBefore).isAtMost(answered);
		}
	}

	private static boolean isAnswered(Socket socket) {
		try {
			request(socket, "/safe/1");
			String head = readHead(socket);
			return head.startsWith("HTTP/1.1 ") && head.endsWith("\r\n\r\n");
		}
		catch (IOException ex) {
			return false;
		}
	}

}
