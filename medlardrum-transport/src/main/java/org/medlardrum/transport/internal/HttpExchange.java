package org.medlardrum.transport.internal;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.BlockingIterator;
import io.servicetalk.http.api.BlockingStreamingHttpClient;
import io.servicetalk.http.api.BlockingStreamingHttpRequest;
import io.servicetalk.http.api.BlockingStreamingHttpResponse;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpRequestMethod;

/**
 * Sends requests and reads response bodies.
 */
public final class HttpExchange {

	private static final long NANOS_PER_MS = 1_000_000;

	private HttpExchange() {
	}

	/**
	 * Sends a request and waits for the response header.
	 * @param client the client
	 * @param method method of the request
	 * @param target path and query
	 * @param headers alternating names and values
	 * @param body body, empty for none
	 * @param headerTimeoutMs longest time until the response header
	 * @return the response, whose body must be read to its end or closed
	 * @throws Exception if the exchange fails, or if the status is not one of a final
	 * response
	 */
	public static BlockingStreamingHttpResponse send(BlockingStreamingHttpClient client, String method, String target,
			List<String> headers, byte[] body, long headerTimeoutMs) throws Exception {
		BlockingStreamingHttpRequest request = client.newRequest(HttpRequestMethod.of(method), target);
		for (int i = 0; i + 1 < headers.size(); i += 2) {
			request.addHeader(headers.get(i), headers.get(i + 1));
		}
		if (body.length > 0) {
			request.payloadBody(List.of(client.executionContext().bufferAllocator().wrap(body)));
		}
		request.setHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
		request.context().put(HttpClientPool.HEADER_TIMEOUT, Duration.ofMillis(Math.max(1, headerTimeoutMs)));
		BlockingStreamingHttpResponse response = client.request(request);
		int status = response.status().code();
		if (!ResponseStatus.isFinal(status)) {
			response.payloadBody().iterator().close();
			throw new IOException(ResponseStatus.describeInvalid(status));
		}
		return response;
	}

	/**
	 * Reads a response body to its end. On any failure the body is cancelled, which
	 * closes the connection.
	 * @param response the response
	 * @param maxBytes largest body
	 * @param timeoutMs longest time for the whole body
	 * @return the body
	 * @throws Exception if the body is too large, late or incomplete
	 */
	public static byte[] readBody(BlockingStreamingHttpResponse response, int maxBytes, long timeoutMs)
			throws Exception {
		return readAll(response.payloadBody().iterator(), maxBytes, timeoutMs);
	}

	/**
	 * Reads buffers to their end and closes the iterator on any failure.
	 * @param buffers the buffers
	 * @param maxBytes largest sum of sizes
	 * @param timeoutMs longest time for all buffers
	 * @return the bytes
	 * @throws Exception if the body is too large, late or incomplete
	 */
	public static byte[] readAll(BlockingIterator<Buffer> buffers, int maxBytes, long timeoutMs) throws Exception {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		long deadlineNs = System.nanoTime() + timeoutMs * NANOS_PER_MS;
		boolean complete = false;
		try {
			while (hasNext(buffers, deadlineNs)) {
				Buffer buffer = buffers.next();
				if (buffer == null) {
					continue;
				}
				if (body.size() + buffer.readableBytes() > maxBytes) {
					throw new BodyTooLargeException(maxBytes);
				}
				byte[] bytes = new byte[buffer.readableBytes()];
				buffer.readBytes(bytes);
				body.write(bytes);
			}
			complete = true;
			return body.toByteArray();
		}
		finally {
			if (!complete) {
				buffers.close();
			}
		}
	}

	private static boolean hasNext(BlockingIterator<Buffer> buffers, long deadlineNs) throws TimeoutException {
		return buffers.hasNext(Math.max(1, deadlineNs - System.nanoTime()), TimeUnit.NANOSECONDS);
	}

	/**
	 * Thrown if a body exceeds its size limit.
	 */
	public static final class BodyTooLargeException extends IOException {

		private BodyTooLargeException(int maxBytes) {
			super("body exceeds " + maxBytes + " bytes");
		}

	}

}
