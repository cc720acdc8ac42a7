package org.medlardrum.transport;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

/**
 * HTTP server that responds to each request with given raw bytes, or closes the
 * connection without a response.
 */
final class ScriptedServer implements AutoCloseable {

	private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final AtomicInteger requests = new AtomicInteger();

	private final AtomicInteger connections = new AtomicInteger();

	private final IntFunction<String> responses;

	/**
	 * Starts the server.
	 * @param responses raw response to each request by its number, from 0; the connection
	 * is closed after a response that is empty, has no {@code Content-Length} or contains
	 * {@code X-Close}; after a response with {@code X-Hold} it stays open until the
	 * client sends more or closes it
	 */
	ScriptedServer(IntFunction<String> responses) throws IOException {
		this.responses = responses;
		Thread.ofVirtual().start(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	int requests() {
		return this.requests.get();
	}

	int connections() {
		return this.connections.get();
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				this.connections.incrementAndGet();
				Thread.ofVirtual().start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The listener was closed at the end of the test.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			while (readRequest(socket.getInputStream())) {
				String response = this.responses.apply(this.requests.getAndIncrement());
				socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
				socket.getOutputStream().flush();
				if (response.contains("X-Hold")) {
					socket.getInputStream().read();
					return;
				}
				if (!response.contains("Content-Length") || response.contains("X-Close")) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The client closed the connection.
		}
	}

	private static boolean readRequest(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				return false;
			}
			head.append((char) next);
		}
		String lower = head.toString().toLowerCase(java.util.Locale.ROOT);
		String lengthHeader = "content-length:";
		int at = lower.indexOf(lengthHeader);
		if (at >= 0) {
			int length = Integer
				.parseInt(lower.substring(at + lengthHeader.length(), lower.indexOf("\r\n", at)).trim());
			in.readNBytes(length);
		}
		return true;
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

	static String response(int status, String headers, String body) {
		return "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
	}

}
