import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.ThreadLocalRandom;

/** Stand-in of a requester. */
final class Client {

	static String newId() {
		return "%016x".formatted(ThreadLocalRandom.current().nextLong());
	}

	/** Sends one request on a new connection; null if the connection ended without a complete answer. */
	static Http.Message send(Host host, Record record, String id, String method, String path, String key, byte[] body,
			long deadlineMs) {
		try (Socket socket = new Socket()) {
			socket.setTcpNoDelay(true);
			socket.connect(new InetSocketAddress(host.ip, host.front), 1000);
			return send(socket, host, record, id, method, path, key, body, deadlineMs);
		}
		catch (IOException ex) {
			record.line("client got %s nothing: %s", id, ex);
			return null;
		}
	}

	static Http.Message send(Socket socket, Host host, Record record, String id, String method, String path, String key,
			byte[] body, long deadlineMs) throws IOException {
		return send(socket, host, "app.example", record, id, method, path, key, body, deadlineMs);
	}

	static Http.Message send(Socket socket, Host host, String hostHeader, Record record, String id, String method,
			String path, String key, byte[] body, long deadlineMs) throws IOException {
		socket.setSoTimeout((int) deadlineMs + 2000);
		OutputStream out = socket.getOutputStream();
		InputStream in = Http.buffered(socket.getInputStream());
		record.line("client sends %s %s %s Host: %s to %s key=%s bytes=%d", id, method, path, hostHeader, host.name, key,
				body.length);
		out.write(Http.bytes(method + " " + path + " HTTP/1.1\r\nHost: " + hostHeader + "\r\n${requestId}: " + id
				+ "\r\nDeadline-Milliseconds: " + deadlineMs + "\r\nAuthorization: Token " + key + "\r\n"
				+ ((method.equals("GET")) ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n"));
		out.write(body);
		out.flush();
		Http.Message answer = Http.read(in, true);
		if (answer == null || !answer.complete()) {
			record.line("client got %s %s", id, (answer == null) ? "nothing: closed" : "an incomplete answer");
			return null;
		}
		record.line("client got %s %s stamp=%s bytes=%d", id, answer.status(), answer.header("response-stamp"),
				answer.body().length);
		return answer;
	}

	static String config(long version, String keys, String... routes) {
		return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
				+ "],\"services\":[{\"name\":\"ledger\",\"healthCheckPath\":\"/health\",\"connectionLimit\":248,"
				+ "\"protocol\":\"h1\",\"tls\":false},{\"name\":\"archive\",\"healthCheckPath\":\"/health\","
				+ "\"connectionLimit\":248,\"protocol\":\"h1\",\"tls\":false}],\"tenants\":[{\"name\":\"north\",\"${keys}\":["
				+ keys + "]}],\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerTimeoutMs\":10000,"
				+ "\"idleTimeoutMs\":30000}}";
	}

	static String route(String name, String prefix, String kind, String service, int timeoutMs, int attempts) {
		return route(name, "app.example", prefix, kind, service, timeoutMs, attempts);
	}

	static String route(String name, String host, String prefix, String kind, String service, int timeoutMs,
			int attempts) {
		return ("{\"name\":\"%s\",\"host\":\"%s\",\"prefix\":\"%s\",\"kind\":\"%s\",\"timeoutMs\":%d,"
				+ "\"targetLatencyMs\":300,\"priority\":2,\"service\":\"%s\",\"maxAttempts\":%d,\"public\":false,"
				+ "\"sticky\":false,\"resumeStreams\":false,\"gapTargetMs\":0}")
			.formatted(name, host, prefix, kind, timeoutMs, service, attempts);
	}

}
