package org.medlardrum.transport;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.BlockingIterator;
import io.servicetalk.http.api.BlockingStreamingHttpResponse;
import org.medlardrum.protocol.engine.EngineFrameCodec;
import org.medlardrum.transport.internal.Failures;
import org.medlardrum.transport.internal.LineBuffer;

/**
 * Stream of the frames of one generation. Not thread-safe. Closing a stream before its
 * end closes the connection, so that late frames cannot reach another request.
 */
public final class EngineStream implements AutoCloseable {

	/**
	 * A token frame takes a few hundred bytes. An end frame holds a report for each
	 * stage.
	 */
	private static final int MAX_LINE_BYTES = 256 * 1024;

	private final BlockingIterator<Buffer> buffers;

	private final LineBuffer lines = new LineBuffer(MAX_LINE_BYTES);

	private StreamEvent.Frame pushedBack;

	private boolean finished;

	private final Runnable closeAction;

	EngineStream(BlockingStreamingHttpResponse response, Runnable closeAction) {
		this.closeAction = closeAction;
		this.buffers = response.payloadBody().iterator();
	}

	void pushBack(StreamEvent.Frame frame) {
		this.pushedBack = frame;
	}

	/**
	 * Waits for the next frame.
	 * @param timeoutMs longest wait
	 * @return the frame, or why none was read
	 */
	public StreamEvent next(long timeoutMs) {
		if (this.pushedBack != null) {
			StreamEvent.Frame frame = this.pushedBack;
			this.pushedBack = null;
			return frame;
		}
		long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
		try {
			while (!this.lines.hasLine()) {
				if (!this.buffers.hasNext(Math.max(1, deadlineNs - System.nanoTime()), TimeUnit.NANOSECONDS)) {
					this.finished = true;
					return new StreamEvent.Broken("stream ended");
				}
				this.lines.append(this.buffers.next());
			}
			return new StreamEvent.Frame(EngineFrameCodec.decode(this.lines.takeLine(StandardCharsets.UTF_8)));
		}
		catch (TimeoutException ex) {
			return new StreamEvent.TimedOut();
		}
		catch (Exception ex) {
			if (ex instanceof InterruptedException) {
				Thread.currentThread().interrupt();
			}
			return new StreamEvent.Broken(Failures.describe(ex));
		}
	}

	/**
	 * Reads the end of the response after its last frame, so that closing the stream does
	 * not cancel it.
	 * @param timeoutMs longest wait
	 */
	public void finish(long timeoutMs) {
		try {
			this.finished = !this.buffers.hasNext(timeoutMs, TimeUnit.MILLISECONDS);
		}
		catch (Exception ex) {
			this.finished = false;
		}
	}

	@Override
	public void close() {
		try {
			if (!this.finished) {
				this.finished = true;
				this.buffers.close();
			}
		}
		catch (Exception ex) {
			// The connection is already closed.
			return;
		}
		finally {
			this.closeAction.run();
		}
	}

}
