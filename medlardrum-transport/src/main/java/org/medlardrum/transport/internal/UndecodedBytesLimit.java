package org.medlardrum.transport.internal;

import java.io.IOException;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.HttpResponseMetaData;
import io.servicetalk.http.api.HttpResponseStatus.StatusClass;
import io.servicetalk.transport.api.ConnectionContext;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import org.tinylog.Logger;

/**
 * Closes a connection whose server sends many bytes without a part of a response, such as
 * header or trailer lines without end. The library limits each line, but not their
 * number.
 */
final class UndecodedBytesLimit extends ChannelInboundHandlerAdapter {

	/** Well above the header of any response and the framing of its chunks. */
	static final int MAX_UNDECODED_BYTES = 256 * 1024;

	/**
	 * Well above the number of header fields of any response. A short field takes forty
	 * times its length in memory.
	 */
	static final int MAX_UNDECODED_LINES = 256;

	/** Lines that are decoded at once. */
	private static final int LINES_AT_ONCE = 64;

	/** Bytes that are decoded at once if there are more lines. */
	private static final int SLICE_BYTES = 2_048;

	private static final byte LINE_FEED = '\n';

	private int undecodedBytes;

	private int undecodedLines;

	private boolean closed;

	/**
	 * Installs a limit on a connection that serves a single request.
	 * @param context context of the connection
	 */
	static void install(ConnectionContext context) {
		Channel channel = ((NettyConnectionContext) ConnectionContexts.unwrap(context)).nettyChannel();
		UndecodedBytesLimit limit = new UndecodedBytesLimit();
		channel.pipeline().addFirst(limit);
		channel.pipeline().addBefore(channel.pipeline().lastContext().name(), null, limit.decodedParts());
	}

	/**
	 * Returns the handler that tells the limit what comes out of the decoder.
	 * @return the handler, to be added after the decoder
	 */
	ChannelInboundHandler decodedParts() {
		return new DecodedParts();
	}

	private void recordDecoded() {
		this.undecodedBytes = 0;
		this.undecodedLines = 0;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.closed) {
			ReferenceCountUtil.release(message);
		}
		else if (message instanceof ByteBuf bytes) {
			read(context, bytes);
		}
		else {
			context.fireChannelRead(message);
		}
	}

	// Many lines are decoded a few at a time: closed connections release what was decoded
	// only after all connections have been read.
	private void read(ChannelHandlerContext context, ByteBuf bytes) {
		int lines = lines(bytes);
		if (lines <= LINES_AT_ONCE) {
			decode(context, bytes, lines);
			return;
		}
		try {
			while (bytes.isReadable() && !this.closed) {
				ByteBuf slice = bytes.readRetainedSlice(Math.min(SLICE_BYTES, bytes.readableBytes()));
				decode(context, slice, lines(slice));
			}
		}
		finally {
			bytes.release();
		}
	}

	// Lines count once they were decoded, because those of a body are a part of a
	// response.
	private void decode(ChannelHandlerContext context, ByteBuf bytes, int lines) {
		this.undecodedBytes += bytes.readableBytes();
		if (this.undecodedBytes > MAX_UNDECODED_BYTES) {
			bytes.release();
			close(context);
			return;
		}
		context.fireChannelRead(bytes);
		this.undecodedLines += (this.undecodedBytes > 0) ? lines : 0;
		if (this.undecodedLines > MAX_UNDECODED_LINES) {
			close(context);
		}
	}

	private static int lines(ByteBuf bytes) {
		int lines = 0;
		int end = bytes.writerIndex();
		for (int at = bytes.indexOf(bytes.readerIndex(), end, LINE_FEED); at >= 0; at = bytes.indexOf(at + 1, end,
				LINE_FEED)) {
			lines++;
		}
		return lines;
	}

	private void close(ChannelHandlerContext context) {
		this.closed = true;
		String reason = "the server sent " + this.undecodedBytes + " bytes, " + this.undecodedLines
				+ " lines, without a part of a response";
		Logger.warn("client: connection to {} is closed: {}", context.channel().remoteAddress(), reason);
		// Otherwise a body that ends with its connection would seem to be complete.
		context.fireExceptionCaught(new IOException(reason));
		context.close();
	}

	/**
	 * Records the parts of the response that come out of the decoder, also those for
	 * which there is no demand yet.
	 */
	private final class DecodedParts extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			boolean head = message instanceof HttpResponseMetaData response
					&& response.status().statusClass() != StatusClass.INFORMATIONAL_1XX;
			if (head || (message instanceof Buffer body && body.readableBytes() > 0)) {
				recordDecoded();
			}
			context.fireChannelRead(message);
		}

	}

}
