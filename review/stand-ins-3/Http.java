import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * HTTP/1.1 on plain sockets, as far as the stand-ins need it.
 */
final class Http {

	private Http() {
	}

	/**
	 * A request or a response.
	 *
	 * @param startLine the first line
	 * @param headers headers by lower-case name
	 * @param body the body
	 */
	record Message(String startLine, Map<String, String> headers, byte[] body) {

		String header(String name) {
			return this.headers.get(name.toLowerCase(Locale.ROOT));
		}

		String method() {
			return this.startLine.split(" ")[0];
		}

		String target() {
			return this.startLine.split(" ")[1];
		}

		int status() {
			return Integer.parseInt(this.startLine.split(" ")[1]);
		}

	}

	/**
	 * Reads a message.
	 * @param in the stream
	 * @return the message, {@code null} if the connection ended before it
	 * @throws IOException if the connection breaks within the message
	 */
	static Message read(InputStream in) throws IOException {
		String startLine = readLine(in);
		if (startLine == null) {
			return null;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		for (String line = requireLine(in); !line.isEmpty(); line = requireLine(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		return new Message(startLine, headers, readBody(in, headers));
	}

	private static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
		if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
				body.write(readFully(in, size));
				requireLine(in);
			}
			requireLine(in);
			return body.toByteArray();
		}
		return readFully(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
	}

	private static int chunkSize(InputStream in) throws IOException {
		return Integer.parseInt(requireLine(in).split(";")[0].trim(), 16);
	}

	private static byte[] readFully(InputStream in, int size) throws IOException {
		byte[] bytes = in.readNBytes(size);
		if (bytes.length < size) {
			throw new EOFException("connection ended within a body");
		}
		return bytes;
	}

	private static String requireLine(InputStream in) throws IOException {
		String line = readLine(in);
		if (line == null) {
			throw new EOFException("connection ended within a message");
		}
		return line;
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int value = in.read(); value >= 0; value = in.read()) {
			if (value == '\n') {
				return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
			}
			line.write(value);
		}
		if (line.size() > 0) {
			throw new EOFException("connection ended within a line");
		}
		return null;
	}

	static void write(OutputStream out, String startLine, byte[] body, String... headers) throws IOException {
		StringBuilder head = new StringBuilder(startLine).append("\r\n");
		for (int i = 0; i + 1 < headers.length; i += 2) {
			head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
		}
		head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
		out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		out.write(body);
		out.flush();
	}

	/**
	 * Closes a connection with a reset.
	 * @param socket the connection
	 */
	static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			// Closed already.
		}
	}

}
