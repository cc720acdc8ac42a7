package org.medlardrum.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Backend server on the loopback interface that handles each connection by a script.
 */
final class FakeBackend implements AutoCloseable {

	private final ServerSocket listener;

	private final List<String> requests = new CopyOnWriteArrayList<>();

	private final Script script;

	FakeBackend(Script script) throws IOException {
		this.script = script;
		this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	/**
	 * Returns the heads of the received requests, except those for the status report.
	 * @return start line and headers of each request in lower case
	 */
	List<String> requests() {
		return this.requests;
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket socket = this.listener.accept();
				Thread.ofVirtual().start(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			BufferedReader reader = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
			StringBuilder head = new StringBuilder();
			int length = 0;
			for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
				head.append(line.toLowerCase(Locale.ROOT)).append('\n');
				if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
					length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
				}
			}
			if (head.isEmpty()) {
				// The gateway connects without a request to find out whether anybody
				// listens.
				return;
			}
			for (int i = 0; i < length; i++) {
				reader.read();
			}
			if (!head.toString().startsWith("get /report")) {
				this.requests.add(head.toString());
			}
			this.script.handle(head.toString(), socket, socket.getOutputStream());
			socket.getOutputStream().flush();
		}
		catch (IOException | InterruptedException ex) {
			// The gateway has closed the connection; tests check that themselves.
		}
	}

	static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	static Script response(int status, String headers, String body) {
		return (head, socket, out) -> write(out,
				"HTTP/1.1 " + status + " x\r\ncontent-length: " + body.length() + "\r\n" + headers + "\r\n" + body);
	}

	static String chunk(String text) {
		return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
	}

	boolean isClosed() {
		return this.listener.isClosed();
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

	/**
	 * Handles one connection to the backend server.
	 */
	interface Script {

		void handle(String head, Socket socket, OutputStream out) throws IOException, InterruptedException;

	}

}
