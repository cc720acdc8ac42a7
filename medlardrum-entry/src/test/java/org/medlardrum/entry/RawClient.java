package org.medlardrum.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Caller that sends and receives raw bytes over a socket.
 */
final class RawClient implements AutoCloseable {

	private static final int READ_TIMEOUT_MS = 30_000;

	private final Socket socket;

	private final StringBuilder received = new StringBuilder();

	RawClient(int port) throws IOException {
		this.socket = new Socket(InetAddress.getLoopbackAddress(), port);
		this.socket.setSoTimeout(READ_TIMEOUT_MS);
	}

	Socket socket() {
		return this.socket;
	}

	void post(String path, String body) throws IOException {
		send("POST " + path + " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + EntryFixture.API_KEY
				+ "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
	}

	void send(String text) throws IOException {
		this.socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
		this.socket.getOutputStream().flush();
	}

	// Returns all that was received on the connection so far.
	String readUntil(String text) throws IOException {
		while (this.received.indexOf(text) < 0) {
			int next = this.socket.getInputStream().read();
			if (next < 0) {
				throw new IOException("Connection ended before \"" + text + "\": " + this.received);
			}
			this.received.append((char) next);
		}
		return this.received.toString();
	}

	String readToEnd() throws IOException {
		this.received.append(new String(this.socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
		return this.received.toString();
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
