package org.medlardrum.standins.internal.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.http.api.HttpPayloadWriter;

/**
 * Writes a streamed response line by line and flushes after each line.
 */
public final class LineWriter implements AutoCloseable {

	private final HttpPayloadWriter<Buffer> writer;

	private final BufferAllocator allocator;

	LineWriter(HttpPayloadWriter<Buffer> writer, BufferAllocator allocator) {
		this.writer = writer;
		this.allocator = allocator;
	}

	/**
	 * Writes a line.
	 * @param line the line, without a line feed
	 * @throws IOException if the connection is closed
	 */
	public void write(String line) throws IOException {
		this.writer.write(this.allocator.wrap((line + "\n").getBytes(StandardCharsets.UTF_8)));
		this.writer.flush();
	}

	/**
	 * Closes the connection so that the response remains incomplete.
	 * @throws IOException if the connection cannot be closed
	 */
	public void abort() throws IOException {
		this.writer.close(new IOException("response aborted on purpose before its end, as in a crash"));
	}

	@Override
	public void close() throws IOException {
		this.writer.close();
	}

}
