package org.medlardrum.standins.internal.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.http.api.BlockingStreamingHttpRequest;
import io.servicetalk.http.api.BlockingStreamingHttpServerResponse;
import io.servicetalk.http.api.HttpPayloadWriter;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;

/**
 * One HTTP request and its response. Not thread-safe, except for {@link #abort()}.
 */
public final class Exchange {

	private static final Gson GSON = new Gson();

	private final HttpServiceContext context;

	private final BlockingStreamingHttpRequest request;

	private final BlockingStreamingHttpServerResponse response;

	private byte[] body;

	Exchange(HttpServiceContext context, BlockingStreamingHttpRequest request,
			BlockingStreamingHttpServerResponse response) {
		this.context = context;
		this.request = request;
		this.response = response;
	}

	/**
	 * Returns the request method.
	 * @return the method, in upper case
	 */
	public String method() {
		return this.request.method().name();
	}

	/**
	 * Returns the decoded request path.
	 * @return the path, without query
	 */
	public String path() {
		return this.request.path();
	}

	/**
	 * Returns a query parameter.
	 * @param name name of the parameter
	 * @param defaultValue value to return if the parameter is missing
	 * @return the decoded value
	 */
	public String query(String name, String defaultValue) {
		String value = this.request.queryParameter(name);
		return (value != null) ? value : defaultValue;
	}

	/**
	 * Returns a numeric query parameter.
	 * @param name name of the parameter
	 * @param defaultValue value to return if the parameter is missing
	 * @return the value
	 * @throws NumberFormatException if the value is not an integer
	 */
	public long queryLong(String name, long defaultValue) {
		String value = this.request.queryParameter(name);
		return (value != null) ? Long.parseLong(value) : defaultValue;
	}

	/**
	 * Returns a request header.
	 * @param name name of the header
	 * @return the value, {@code null} if the header is missing
	 */
	public String header(String name) {
		CharSequence value = this.request.headers().get(name);
		return (value != null) ? value.toString() : null;
	}

	/**
	 * Reads the complete request body.
	 * @return the body
	 */
	public byte[] bodyBytes() {
		if (this.body == null) {
			java.io.ByteArrayOutputStream bytes = new java.io.ByteArrayOutputStream();
			for (Buffer buffer : this.request.payloadBody()) {
				byte[] chunk = new byte[buffer.readableBytes()];
				buffer.readBytes(chunk);
				bytes.writeBytes(chunk);
			}
			this.body = bytes.toByteArray();
		}
		return this.body;
	}

	/**
	 * Reads the complete request body as UTF-8.
	 * @return the body
	 */
	public String body() {
		return new String(bodyBytes(), StandardCharsets.UTF_8);
	}

	/**
	 * Reads the request body as a JSON object.
	 * @return the object, empty if the body is empty
	 */
	public JsonObject bodyJson() {
		JsonObject json = GSON.fromJson(body(), JsonObject.class);
		return (json != null) ? json : new JsonObject();
	}

	/**
	 * Sets a response header. Must be called before the response is sent.
	 * @param name name of the header
	 * @param value value of the header
	 */
	public void responseHeader(String name, String value) {
		this.response.setHeader(name, value);
	}

	/**
	 * Sends a JSON response.
	 * @param status status code
	 * @param value object to serialise; a string is sent as it is
	 * @throws IOException if the connection is closed
	 */
	public void sendJson(int status, Object value) throws IOException {
		send(status, "application/json", (value instanceof String text) ? text : GSON.toJson(value));
	}

	/**
	 * Sends a complete response.
	 * @param status status code
	 * @param contentType content type of the body
	 * @param text the body
	 * @throws IOException if the connection is closed
	 */
	public void send(int status, String contentType, String text) throws IOException {
		bodyBytes();
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		this.response.status(HttpResponseStatus.of(status, ""));
		this.response.setHeader("Content-Type", contentType);
		this.response.setHeader("Content-Length", Integer.toString(bytes.length));
		try (HttpPayloadWriter<Buffer> writer = this.response.sendMetaData()) {
			if (bytes.length > 0) {
				writer.write(this.context.executionContext().bufferAllocator().wrap(bytes));
			}
		}
	}

	/**
	 * Starts a streamed response of JSON lines.
	 * @return writer of the lines
	 */
	public LineWriter startLines() {
		bodyBytes();
		this.response.status(HttpResponseStatus.OK);
		this.response.setHeader("Content-Type", "application/x-ndjson");
		return new LineWriter(this.response.sendMetaData(), this.context.executionContext().bufferAllocator());
	}

	/**
	 * Closes the connection without completing the response.
	 */
	public void abort() {
		this.context.closeAsync().subscribe();
	}

	/**
	 * Registers an action to run when either side closes the connection.
	 * @param action the action, which may run on any thread
	 * @return handle that removes the action
	 */
	public Cancellable onClose(Runnable action) {
		return this.context.onClosing().whenOnComplete(action).subscribe();
	}

}
