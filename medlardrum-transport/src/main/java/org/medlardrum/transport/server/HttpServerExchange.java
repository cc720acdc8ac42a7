package org.medlardrum.transport.server;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.BlockingIterator;
import io.servicetalk.http.api.BlockingStreamingHttpRequest;
import io.servicetalk.http.api.BlockingStreamingHttpServerResponse;
import io.servicetalk.http.api.HttpPayloadWriter;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;
import org.medlardrum.transport.internal.Failures;

/**
 * One request and its response. Used by the request's thread only, except for
 * {@link #isDisconnected()}.
 */
public final class HttpServerExchange {

	/**
	 * Most bytes of a rejected body that are read and discarded, so that the caller can
	 * read the response.
	 */
	private static final int MAX_DISCARDED_BYTES = 1024 * 1024;

	private static final long DISCARD_TIMEOUT_MS = 1000;

	private static final int MAX_LENGTH_DIGITS = 18;

	private final HttpServiceContext context;

	private final BlockingStreamingHttpRequest request;

	private final BlockingStreamingHttpServerResponse response;

	private final TrackedConnection connection;

	private final long bodyTimeoutMs;

	private final List<String> responseHeaders = new ArrayList<>();

	private BlockingIterator<Buffer> body;

	private boolean bodyComplete;

	private HttpPayloadWriter<Buffer> writer;

	HttpServerExchange(HttpServiceContext context, BlockingStreamingHttpRequest request,
			BlockingStreamingHttpServerResponse response, TrackedConnection connection, long bodyTimeoutMs) {
		this.context = context;
		this.request = request;
		this.response = response;
		this.connection = connection;
		this.bodyTimeoutMs = bodyTimeoutMs;
	}

	/**
	 * Returns the HTTP method.
	 * @return the method
	 */
	public String method() {
		return this.request.method().name();
	}

	/**
	 * Returns the path, percent-encoded as received.
	 * @return the path
	 */
	public String path() {
		return this.request.rawPath();
	}

	/**
	 * Returns path and query as received.
	 * @return the request target
	 */
	public String target() {
		return this.request.requestTarget();
	}

	/**
	 * Returns the first value of a header.
	 * @param name name of the header
	 * @return the value
	 */
	public Optional<String> header(String name) {
		CharSequence value = this.request.headers().get(name);
		return (value != null) ? Optional.of(value.toString()) : Optional.empty();
	}

	/**
	 * Returns all headers.
	 * @return alternating names and values
	 */
	public List<String> headers() {
		List<String> headers = new ArrayList<>();
		for (Map.Entry<CharSequence, CharSequence> header : this.request.headers()) {
			headers.add(header.getKey().toString());
			headers.add(header.getValue().toString());
		}
		return headers;
	}

	/**
	 * Reads the request body. May be called once.
	 * @param maxBytes largest body
	 * @return the body, or why it was not read
	 */
	public BodyResult readBody(int maxBytes) {
		// A number of at most 18 digits fits into a long.
		if (header("Content-Length")
			.map((value) -> value.length() > MAX_LENGTH_DIGITS || Long.parseLong(value) > maxBytes)
			.orElse(false)) {
			return new BodyResult.TooLarge(maxBytes);
		}
		this.body = this.request.payloadBody().iterator();
		long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.bodyTimeoutMs);
		ByteArrayOutputStream content = new ByteArrayOutputStream();
		try {
			while (this.body.hasNext(Math.max(1, deadlineNs - System.nanoTime()), TimeUnit.NANOSECONDS)) {
				Buffer buffer = this.body.next();
				if (content.size() + buffer.readableBytes() > maxBytes) {
					return new BodyResult.TooLarge(maxBytes);
				}
				byte[] chunk = new byte[buffer.readableBytes()];
				buffer.readBytes(chunk);
				content.write(chunk);
			}
			this.bodyComplete = true;
			return new BodyResult.Complete(content.toByteArray());
		}
		catch (TimeoutException ex) {
			return new BodyResult.Incomplete("not complete within " + this.bodyTimeoutMs + " ms");
		}
		catch (Exception ex) {
			return new BodyResult.Incomplete(Failures.describe(ex));
		}
	}

	/**
	 * Adds a header to the response, which must not have started.
	 * @param name name of the header
	 * @param value value of the header
	 */
	public void addResponseHeader(String name, String value) {
		this.responseHeaders.add(name);
		this.responseHeaders.add(value);
	}

	/**
	 * Returns whether the response header has been sent.
	 * @return {@code true} after {@link #respond} or {@link #startStream}
	 */
	public boolean isResponseStarted() {
		return this.writer != null;
	}

	/**
	 * Sends a complete response.
	 * @param status status of the response
	 * @param contentType media type, {@code null} for none
	 * @param content the body
	 * @throws IOException if the response cannot be written
	 */
	public void respond(int status, String contentType, byte[] content) throws IOException {
		this.response.setHeader("content-length", Integer.toString(content.length));
		start(status, contentType);
		if (content.length > 0) {
			write(content);
		}
		finish();
	}

	/**
	 * Sends the header of a streamed response.
	 * @param status status of the response
	 * @param contentType media type
	 */
	public void startStream(int status, String contentType) {
		start(status, contentType);
	}

	/**
	 * Sends a chunk of a streamed response.
	 * @param chunk text of the chunk
	 * @throws IOException if the chunk cannot be written
	 */
	public void writeChunk(String chunk) throws IOException {
		write(chunk.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Ends the response.
	 * @throws IOException if the response cannot be written
	 */
	public void finish() throws IOException {
		this.writer.close();
		if (!this.bodyComplete && this.body != null) {
			discardBody();
		}
	}

	/**
	 * Closes the connection, so that the peer detects that the response is incomplete.
	 */
	public void abort() {
		this.context.closeAsync().subscribe();
	}

	/**
	 * Returns whether the peer has closed the connection.
	 * @return {@code true} after the connection was closed
	 */
	public boolean isDisconnected() {
		return this.connection.isClosing();
	}

	/**
	 * Sets the action to run if the peer closes the connection during the request. It
	 * runs at most once, on an event loop, and must not block.
	 * @param action the action
	 */
	public void onDisconnect(Runnable action) {
		this.connection.onDisconnect(action);
	}

	private void start(int status, String contentType) {
		this.response.status(HttpResponseStatus.of(status, ""));
		if (contentType != null) {
			this.response.setHeader("content-type", contentType);
		}
		for (int i = 0; i + 1 < this.responseHeaders.size(); i += 2) {
			this.response.setHeader(this.responseHeaders.get(i), this.responseHeaders.get(i + 1));
		}
		if (!this.bodyComplete && (this.body != null || header("Content-Length").isPresent())) {
			this.response.setHeader("connection", "close");
		}
		this.writer = this.response.sendMetaData();
	}

	private void write(byte[] bytes) throws IOException {
		this.connection.writeStarted();
		try {
			this.writer.write(this.context.executionContext().bufferAllocator().wrap(bytes));
			this.writer.flush();
		}
		finally {
			this.connection.writeEnded();
		}
	}

	private void discardBody() {
		long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DISCARD_TIMEOUT_MS);
		int discarded = 0;
		try {
			while (discarded < MAX_DISCARDED_BYTES
					&& this.body.hasNext(Math.max(1, deadlineNs - System.nanoTime()), TimeUnit.NANOSECONDS)) {
				discarded += this.body.next().readableBytes();
			}
			this.body.close();
		}
		catch (Exception ex) {
			abort();
		}
	}

}
