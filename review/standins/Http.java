import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** HTTP/1.1 messages on plain sockets. */
final class Http {

	private Http() {
	}

	/** First line, headers with names in lower case, and body; complete is false if it broke off. */
	record Message(String first, Map<String, String> headers, byte[] body, boolean complete) {

		int status() {
			return Integer.parseInt(this.first.split(" ")[1]);
		}

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	static InputStream buffered(InputStream in) {
		return new BufferedInputStream(in, 65_536);
	}

	/** Reads one message; null at the end of the connection. */
	static Message read(InputStream in, boolean response) throws IOException {
		String first = line(in);
		if (first == null) {
			return null;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		boolean complete = true;
		try {
			if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
				for (int size = chunk(in); size > 0; size = chunk(in)) {
					copy(in, body, size);
					line(in);
				}
				line(in);
			}
			else if (headers.containsKey("content-length")) {
				copy(in, body, Integer.parseInt(headers.get("content-length")));
			}
			else if (response) {
				in.transferTo(body);
			}
		}
		catch (IOException ex) {
			complete = false;
		}
		return new Message(first, headers, body.toByteArray(), complete);
	}

	private static int chunk(InputStream in) throws IOException {
		String line = line(in);
		if (line == null || line.isEmpty()) {
			throw new EOFException("chunk");
		}
		return Integer.parseInt(line.split(";")[0].trim(), 16);
	}

	private static void copy(InputStream in, ByteArrayOutputStream body, int size) throws IOException {
		byte[] part = in.readNBytes(size);
		body.writeBytes(part);
		if (part.length < size) {
			throw new EOFException("body");
		}
	}

	static String line(InputStream in) throws IOException {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		int c = in.read();
		if (c < 0) {
			return null;
		}
		for (; c >= 0 && c != '\n'; c = in.read()) {
			if (c != '\r') {
				out.write(c);
			}
		}
		return out.toString(StandardCharsets.ISO_8859_1);
	}

	static byte[] bytes(String text) {
		return Wire.text(text).getBytes(StandardCharsets.ISO_8859_1);
	}

}
