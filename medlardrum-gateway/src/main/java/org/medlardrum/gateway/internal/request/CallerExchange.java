package org.medlardrum.gateway.internal.request;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.buffer.api.CompositeBuffer;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.concurrent.api.SourceAdapters;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import org.medlardrum.decisions.memory.HeldBytes;
import org.medlardrum.gateway.internal.call.ReceivedBody;

/**
 * A caller's HTTP request and the response to it. Confined to the event loop.
 */
public final class CallerExchange {

	/**
	 * Limit of response parts buffered for a slow caller. The users' streams have at most
	 * 209 events.
	 */
	private static final int MAX_BUFFERED_PARTS = 1_024;

	private final StreamingHttpRequest request;

	private final StreamingHttpResponseFactory responseFactory;

	private final BufferAllocator allocator;

	private final SingleSource.Processor<StreamingHttpResponse, StreamingHttpResponse> head = Processors
		.newSingleProcessor();

	private PublisherSource.Processor<Buffer, Buffer> body;

	private Runnable disconnectAction = () -> {
	};

	private Runnable endAction = () -> {
	};

	private Runnable closeAction = () -> {
	};

	private List<String> problemHeaders = List.of();

	/** Bytes of a streamed response that the server has not taken over. */
	private long backlogBytes;

	private HeldBytes backlog;

	private boolean started;

	private boolean disconnected;

	private boolean ended;

	private boolean written;

	/**
	 * Creates an exchange.
	 * @param context context of the request
	 * @param request the request
	 * @param responses factory of the response
	 */
	public CallerExchange(HttpServiceContext context, StreamingHttpRequest request,
			StreamingHttpResponseFactory responses) {
		this.request = request;
		this.responseFactory = responses;
		this.allocator = context.executionContext().bufferAllocator();
	}

	/**
	 * Returns the response for the HTTP server.
	 * @return the response
	 */
	public Single<StreamingHttpResponse> response() {
		return SourceAdapters.fromSource(this.head).beforeCancel(this::peerClosed).beforeOnError((failure) -> end());
	}

	/**
	 * Sets the action to run when the server has taken over the whole response, the
	 * response has failed or the caller has disconnected.
	 * @param action the action, run once
	 */
	public void onEnd(Runnable action) {
		this.endAction = action;
		if (this.ended) {
			action.run();
		}
	}

	private void end() {
		if (!this.ended) {
			this.ended = true;
			this.endAction.run();
		}
	}

	/**
	 * Sets the action to run when the caller disconnects before its response is complete.
	 * @param action the action, run at most once
	 */
	public void onDisconnect(Runnable action) {
		this.disconnectAction = action;
		if (this.disconnected) {
			action.run();
		}
	}

	/**
	 * Records that the caller has closed its connection.
	 */
	public void peerClosed() {
		if (!this.disconnected) {
			this.disconnected = true;
			this.disconnectAction.run();
			end();
		}
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
	 * @return the value, empty if the header is absent
	 */
	public Optional<String> header(String name) {
		return Optional.ofNullable(this.request.headers().get(name)).map(CharSequence::toString);
	}

	/**
	 * Returns all headers.
	 * @return alternating names and values
	 */
	public List<String> headers() {
		return HeaderList.of(this.request.headers());
	}

	/**
	 * Sets headers that every problem document is sent with.
	 * @param headers alternating names and values
	 */
	public void setProblemHeaders(List<String> headers) {
		this.problemHeaders = List.copyOf(headers);
	}

	/**
	 * Returns the headers that every problem document is sent with.
	 * @return alternating names and values
	 */
	List<String> problemHeaders() {
		return this.problemHeaders;
	}

	/**
	 * Returns whether the header of the response has been sent.
	 * @return {@code true} after {@link #respond} or {@link #startStream}
	 */
	public boolean isStarted() {
		return this.started;
	}

	/**
	 * Sends a complete response.
	 * @param status status of the response
	 * @param headers alternating names and values
	 * @param content the body
	 */
	public void respond(int status, List<String> headers, byte[] content) {
		StreamingHttpResponse response = head(status, headers);
		response.setHeader("content-length", Integer.toString(content.length));
		if (content.length > 0) {
			response.payloadBody(Publisher.from(this.allocator.wrap(content)));
		}
		send(response);
	}

	/**
	 * Sends a complete response.
	 * @param status status of the response
	 * @param headers alternating names and values
	 * @param content the body, closed by {@link #recordWritten}
	 */
	public void respond(int status, List<String> headers, ReceivedBody content) {
		closeWhenWritten(content::close);
		StreamingHttpResponse response = head(status, headers);
		response.setHeader("content-length", Integer.toString(content.sizeBytes()));
		if (content.sizeBytes() > 0) {
			CompositeBuffer whole = this.allocator.newCompositeBuffer(Integer.MAX_VALUE);
			content.parts().forEach((part) -> whole.addBuffer(this.allocator.wrap(part)));
			response.payloadBody(Publisher.from(whole));
		}
		send(response);
	}

	private void closeWhenWritten(Runnable action) {
		this.closeAction = action;
		if (this.written) {
			action.run();
		}
	}

	/**
	 * Records that the response has been written, or that its connection is closed: its
	 * bytes are not held any more.
	 */
	public void recordWritten() {
		this.written = true;
		this.closeAction.run();
	}

	/**
	 * Sends the status and headers of a streamed response.
	 * @param status status of the response
	 * @param headers alternating names and values
	 * @param unread counts the bytes that the caller has not read, closed by
	 * {@link #recordWritten}
	 */
	public void startStream(int status, List<String> headers, HeldBytes unread) {
		this.backlog = unread;
		closeWhenWritten(unread::close);
		this.body = Processors.newPublisherProcessor(MAX_BUFFERED_PARTS);
		send(head(status, headers).payloadBody(SourceAdapters.fromSource(this.body)
			.beforeOnNext((part) -> countBacklog(-part.readableBytes()))
			.beforeCancel(this::peerClosed)));
	}

	private void countBacklog(long bytes) {
		this.backlogBytes += bytes;
		this.backlog.set(this.backlogBytes);
	}

	/**
	 * Returns whether the caller leaves more of a streamed response unread than the host
	 * can hold.
	 * @return {@code true} if the response has to end
	 */
	public boolean isBacklogTooLarge() {
		return this.backlog != null && !this.backlog.mayGrow();
	}

	private void send(StreamingHttpResponse response) {
		this.started = true;
		this.head.onSuccess(response.transformPayloadBody((payload) -> payload.beforeFinally(this::end)));
	}

	private StreamingHttpResponse head(int status, List<String> headers) {
		StreamingHttpResponse response = this.responseFactory.newResponse(HttpResponseStatus.of(status, ""));
		for (int i = 0; i + 1 < headers.size(); i += 2) {
			response.addHeader(headers.get(i), headers.get(i + 1));
		}
		return response;
	}

	/**
	 * Sends a part of the body of a streamed response.
	 * @param part the part
	 */
	public void write(byte[] part) {
		countBacklog(part.length);
		this.body.onNext(this.allocator.wrap(part));
	}

	/**
	 * Completes a streamed response.
	 */
	public void finish() {
		this.body.onComplete();
	}

	/**
	 * Closes the connection in the middle of a streamed response, so that the caller
	 * detects that it is incomplete.
	 */
	public void abort() {
		if (this.body != null) {
			this.body.onError(new IOException("streamed response aborted, it is incomplete"));
		}
	}

	/**
	 * Closes the connection without a response.
	 */
	public void drop() {
		this.head.onError(new IOException("connection closed without a response"));
	}

}
