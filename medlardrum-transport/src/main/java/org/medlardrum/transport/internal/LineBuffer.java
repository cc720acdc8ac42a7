package org.medlardrum.transport.internal;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.Charset;
import java.util.ArrayDeque;
import java.util.Deque;

import io.servicetalk.buffer.api.Buffer;

/**
 * Splits buffers into lines of bounded length.
 */
public final class LineBuffer {

	private final int maxLineBytes;

	private final Deque<byte[]> lines = new ArrayDeque<>();

	private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

	/**
	 * Creates an empty buffer.
	 * @param maxLineBytes longest line
	 */
	public LineBuffer(int maxLineBytes) {
		this.maxLineBytes = maxLineBytes;
	}

	/**
	 * Returns whether a complete line is available.
	 * @return {@code true} if {@link #takeLine} returns a line
	 */
	public boolean hasLine() {
		return !this.lines.isEmpty();
	}

	/**
	 * Adds the readable bytes of a buffer. Empty lines are skipped.
	 * @param buffer the buffer, may be {@code null}
	 * @throws IOException if a line is too long
	 */
	public void append(Buffer buffer) throws IOException {
		if (buffer == null) {
			return;
		}
		byte[] bytes = new byte[buffer.readableBytes()];
		buffer.readBytes(bytes);
		int start = 0;
		for (int i = 0; i < bytes.length; i++) {
			if (bytes[i] == '\n') {
				this.partial.write(bytes, start, i - start);
				if (this.partial.size() > 0) {
					this.lines.add(this.partial.toByteArray());
				}
				this.partial.reset();
				start = i + 1;
			}
		}
		this.partial.write(bytes, start, bytes.length - start);
		if (this.partial.size() > this.maxLineBytes) {
			throw new IOException("line exceeds " + this.maxLineBytes + " bytes");
		}
	}

	/**
	 * Removes the next line.
	 * @param charset character set of the line
	 * @return the line, without line feed
	 */
	public String takeLine(Charset charset) {
		return new String(this.lines.remove(), charset);
	}

}
