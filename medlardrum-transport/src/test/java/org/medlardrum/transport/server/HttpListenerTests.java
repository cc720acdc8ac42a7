package org.medlardrum.transport.server;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against peers that occupy connections with large, slow or incomplete bodies,
 * slow headers or unread responses, and against missed disconnects.
 */
class HttpListenerTests {

	private static final int MAX_CONNECTIONS = 2;

	private static final int MAX_HEADER_BYTES = 1000;

	private static final long LONG_TIMEOUT_MS = 60_000;

	private static final ServerLimits LIMITS = new ServerLimits(MAX_CONNECTIONS, MAX_HEADER_BYTES, LONG_TIMEOUT_MS,
			LONG_TIMEOUT_MS, LONG_TIMEOUT_MS);

	private static ServerLimits withIdleTimeoutMs(long idleTimeoutMs) {
		return new ServerLimits(MAX_CONNECTIONS, MAX_HEADER_BYTES, idleTimeoutMs, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS);
	}

	private static ServerLimits withBodyTimeoutMs(long bodyTimeoutMs) {
		return new ServerLimits(MAX_CONNECTIONS, MAX_HEADER_BYTES, LONG_TIMEOUT_MS, bodyTimeoutMs, LONG_TIMEOUT_MS);
	}

	private static ServerLimits withWriteTimeoutMs(long writeTimeoutMs) {
		return new ServerLimits(MAX_CONNECTIONS, MAX_HEADER_BYTES, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS, writeTimeoutMs);
	}

	private static void echo(HttpServerExchange exchange) throws IOException {
		switch (exchange.readBody(10)) {
			case BodyResult.Complete complete -> exchange.respond(200, "text/plain", complete.bytes());
			case BodyResult.TooLarge tooLarge -> exchange.respond(413, null, new byte[0]);
			case BodyResult.Incomplete incomplete -> exchange.respond(408, null, new byte[0]);
		}
	}

	private static Socket connect(HttpListener listener) throws IOException {
		Socket socket = new Socket(InetAddress.getLoopbackAddress(), listener.port());
		socket.setSoTimeout(20_000);
		return socket;
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
		socket.getOutputStream().flush();
	}

	// Returns the empty string if the server closed the connection without a response.
	private static String statusLine(Socket socket) throws IOException {
		InputStream in = socket.getInputStream();
		StringBuilder line = new StringBuilder();
		try {
			for (int next = in.read(); next >= 0 && next != '\r'; next = in.read()) {
				line.append((char) next);
			}
		}
		catch (SocketException ex) {
			return "";
		}
		return line.toString();
	}

	@ParameterizedTest
	@CsvSource({ "'Content-Length: 5\r\n\r\nhello', 200", "'Content-Length: 11\r\n\r\nhello world', 413",
			"'Content-Length: 99999999999999999999\r\n\r\n', closed",
			"'Transfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\n\r\n', 413",
			"'Content-Length: 5\r\n\r\nhel', 408" })
	void boundsBodies(String rest, String status) throws Exception {
		ServerLimits limits = withBodyTimeoutMs(300);
		try (HttpListener listener = HttpListener.start("127.0.0.1:0", limits, HttpListenerTests::echo);
				Socket socket = connect(listener)) {
			send(socket, "POST / HTTP/1.1\r\nHost: x\r\n" + rest);
			String line = statusLine(socket);
			assertThat((line.isEmpty()) ? "closed" : line.split(" ")[1]).isEqualTo(status);
		}
	}

	@Test
	void closesConnectionsWithOversizedHeaders() throws Exception {
		try (HttpListener listener = HttpListener.start("127.0.0.1:0", LIMITS, HttpListenerTests::echo);
				Socket socket = connect(listener)) {
			send(socket, "GET / HTTP/1.1\r\nHost: " + "x".repeat(2000) + "\r\n\r\n");
			assertThat(statusLine(socket)).isEmpty();
		}
	}

	@Test
	void closesConnectionsWithSlowHeaders() throws Exception {
		ServerLimits limits = withIdleTimeoutMs(200);
		try (HttpListener listener = HttpListener.start("127.0.0.1:0", limits, HttpListenerTests::echo);
				Socket socket = connect(listener)) {
			send(socket, "GET / HTTP/1.1\r\nHost:");
			assertThat(statusLine(socket)).isEmpty();
		}
	}

	@Test
	void refusesConnectionsAboveTheLimit() throws Exception {
		try (HttpListener listener = HttpListener.start("127.0.0.1:0", LIMITS, HttpListenerTests::echo);
				Socket first = connect(listener);
				Socket second = connect(listener)) {
			for (Socket socket : new Socket[] { first, second }) {
				send(socket, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
				assertThat(statusLine(socket)).startsWith("HTTP/1.1 200");
			}
			try (Socket third = connect(listener)) {
				assertThat(third.getInputStream().read()).isEqualTo(-1);
			}
		}
	}

	@Test
	void disconnectIsReportedDuringARequestOnly() throws Exception {
		CountDownLatch disconnected = new CountDownLatch(1);
		CountDownLatch started = new CountDownLatch(1);
		CountDownLatch waiting = new CountDownLatch(1);
		AtomicInteger reports = new AtomicInteger();
		try (HttpListener listener = HttpListener.start("127.0.0.1:0", LIMITS, (exchange) -> {
			exchange.readBody(10);
			exchange.onDisconnect(() -> {
				reports.incrementAndGet();
				disconnected.countDown();
			});
			started.countDown();
			if (exchange.path().equals("/wait")) {
				waiting.countDown();
				disconnected.await(20, TimeUnit.SECONDS);
			}
			exchange.respond(200, null, new byte[0]);
		})) {
			try (Socket socket = connect(listener)) {
				send(socket, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
				assertThat(statusLine(socket)).startsWith("HTTP/1.1 200");
			}
			started.await();
			assertThat(reports.get()).isEqualTo(0);
			try (Socket socket = connect(listener)) {
				send(socket, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
				assertThat(waiting.await(20, TimeUnit.SECONDS)).isTrue();
			}
			assertThat(disconnected.await(20, TimeUnit.SECONDS)).isTrue();
		}
	}

	@Test
	void closeHeaderIsNotADisconnect() throws Exception {
		AtomicInteger reports = new AtomicInteger();
		try (HttpListener listener = HttpListener.start("127.0.0.1:0", LIMITS, (exchange) -> {
			exchange.readBody(10);
			exchange.onDisconnect(reports::incrementAndGet);
			exchange.startStream(200, "text/plain");
			exchange.writeChunk("a");
			exchange.finish();
		}); Socket socket = connect(listener)) {
			send(socket, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
			assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8)).contains("\na\r\n");
			assertThat(reports.get()).isEqualTo(0);
		}
	}

	@Test
	void closesConnectionsOfPeersThatDoNotRead() throws Exception {
		CountDownLatch writeFailed = new CountDownLatch(1);
		ServerLimits limits = withWriteTimeoutMs(300);
		try (HttpListener listener = HttpListener.start("127.0.0.1:0", limits, (exchange) -> {
			exchange.readBody(10);
			exchange.startStream(200, "text/plain");
			try {
				for (int i = 0; i < 10_000; i++) {
					exchange.writeChunk("x".repeat(100_000));
				}
			}
			catch (IOException ex) {
				writeFailed.countDown();
				throw ex;
			}
		}); Socket socket = connect(listener)) {
			send(socket, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
			assertThat(writeFailed.await(30, TimeUnit.SECONDS)).isTrue();
		}
	}

}
