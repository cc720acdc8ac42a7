import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;

/**
 * A caller with one connection, which it keeps open.
 */
final class Caller implements AutoCloseable {

	private final HostProcess host;

	private Socket socket;

	private InputStream in;

	/** Requests that were sent on the open connection. */
	private int requests;

	Caller(HostProcess host) {
		this.host = host;
	}

	/**
	 * Sends a request and waits for its answer.
	 * @param id identifier of the request
	 * @param method method
	 * @param path path
	 * @param body body
	 * @param deadlineMs time for which the caller waits
	 * @return the answer
	 * @throws IOException if the connection ends without a complete answer
	 */
	Http.Message call(String id, String method, String path, byte[] body, int deadlineMs) throws IOException {
		if (this.socket == null) {
			this.socket = this.host.connect();
			this.in = new BufferedInputStream(this.socket.getInputStream());
			this.requests = 0;
		}
		this.requests++;
		try {
			this.socket.setSoTimeout(deadlineMs + 1_000);
			Http.write(this.socket.getOutputStream(), method + " " + path + " HTTP/1.1", body, "Host",
					"review.example", Names.get("header.requestId"), id, Names.get("header.deadline"),
					Integer.toString(deadlineMs), Names.get("header.key"), Names.get("key.scheme") + " key-north");
			Http.Message answer = Http.read(this.in);
			if (answer == null) {
				throw new IOException("connection closed without an answer");
			}
			if ("close".equalsIgnoreCase(answer.header("connection"))) {
				close();
			}
			return answer;
		}
		catch (IOException ex) {
			close();
			throw ex;
		}
	}

	/**
	 * Returns whether the last request was sent on a connection that had served another.
	 * @return {@code true} on a kept connection
	 */
	boolean wasKept() {
		return this.requests > 1;
	}

	@Override
	public void close() {
		if (this.socket != null) {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				// Closed already.
			}
			this.socket = null;
		}
	}

}
