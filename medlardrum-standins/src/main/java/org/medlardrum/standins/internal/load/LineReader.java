package org.medlardrum.standins.internal.load;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.BlockingIterator;

/**
 * Reads the lines of a response body as they arrive. Not thread-safe.
 */
final class LineReader implements AutoCloseable {

	private final BlockingIterator<Buffer> buffers;

	private final long deadlineNs;

	private final ByteArrayOutputStream lineBytes = new ByteArrayOutputStream();

	private Buffer buffer;

	LineReader(BlockingIterator<Buffer> buffers, long deadlineNs) {
		this.buffers = buffers;
		this.deadlineNs = deadlineNs;
	}

	// Returns the next line without its line terminator, or null at the end of the body.
	String readLine() throws IOException {
		while (fillBuffer()) {
			while (this.buffer.readableBytes() > 0) {
				byte octet = this.buffer.readByte();
				if (octet == '\n') {
					return takeLine();
				}
				this.lineBytes.write(octet);
			}
		}
		return (this.lineBytes.size() > 0) ? takeLine() : null;
	}

	String readRemaining() throws IOException {
		StringBuilder text = new StringBuilder();
		String nextLine;
		while ((nextLine = readLine()) != null) {
			text.append(nextLine).append('\n');
		}
		return text.toString();
	}

	@Override
	public void close() throws Exception {
		this.buffers.close();
	}

	private boolean fillBuffer() throws IOException {
		if (this.buffer != null && this.buffer.readableBytes() > 0) {
			return true;
		}
		try {
			if (!this.buffers.hasNext(this.deadlineNs - System.nanoTime(), TimeUnit.NANOSECONDS)) {
				return false;
			}
			this.buffer = this.buffers.next();
			return true;
		}
		catch (TimeoutException ex) {
			throw new IOException("timeout", ex);
		}
	}

	private String takeLine() {
		String text = this.lineBytes.toString(StandardCharsets.UTF_8);
		this.lineBytes.reset();
		return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
	}

}
