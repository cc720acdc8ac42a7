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

	private final long endNs;

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private Buffer current;

	LineReader(BlockingIterator<Buffer> buffers, long endNs) {
		this.buffers = buffers;
		this.endNs = endNs;
	}

	// Returns the next line without its line feed, or null at the end of the body.
	String next() throws IOException {
		while (fill()) {
			while (this.current.readableBytes() > 0) {
				byte octet = this.current.readByte();
				if (octet == '\n') {
					return take();
				}
				this.line.write(octet);
			}
		}
		return (this.line.size() > 0) ? take() : null;
	}

	String rest() throws IOException {
		StringBuilder text = new StringBuilder();
		String next;
		while ((next = next()) != null) {
			text.append(next).append('\n');
		}
		return text.toString();
	}

	@Override
	public void close() throws Exception {
		this.buffers.close();
	}

	private boolean fill() throws IOException {
		if (this.current != null && this.current.readableBytes() > 0) {
			return true;
		}
		try {
			if (!this.buffers.hasNext(this.endNs - System.nanoTime(), TimeUnit.NANOSECONDS)) {
				return false;
			}
			this.current = this.buffers.next();
			return true;
		}
		catch (TimeoutException ex) {
			throw new IOException("timeout", ex);
		}
	}

	private String take() {
		String text = this.line.toString(StandardCharsets.UTF_8);
		this.line.reset();
		return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
	}

}
