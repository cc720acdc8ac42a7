import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * The events of a streamed response. A request with the identifier of the last event that
 * its caller has received gets those that follow.
 */
final class EventSource {

	/** Number of events of a whole stream. */
	static final int EVENTS = 84;

	private static final long INTERVAL_MS = 15;

	private final Log log;

	EventSource(Log log) {
		this.log = log;
	}

	/**
	 * Sends a response.
	 * @param server identifier of the server
	 * @param request the request
	 * @param out the connection
	 * @throws Exception if the connection breaks
	 */
	void send(String server, Http.Message request, OutputStream out) throws Exception {
		String id = request.header(Names.get("header.requestId"));
		String last = request.header(Names.get("header.lastEvent"));
		this.log.line("run " + id + " at " + server + ", after event " + ((last != null) ? last : "none"));
		out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
				+ Names.get("header.requestId") + ": " + id + "\r\n" + Names.get("header.proof") + ": stamp." + server
				+ "." + id + "\r\n\r\n")
			.getBytes(StandardCharsets.UTF_8));
		for (int event = (last != null) ? Integer.parseInt(last) + 1 : 1; event <= EVENTS; event++) {
			Thread.sleep(INTERVAL_MS);
			writeChunk(out, "id: " + event + "\ndata: piece " + event + "\n\n");
		}
		out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	private static void writeChunk(OutputStream out, String event) throws IOException {
		out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

}
