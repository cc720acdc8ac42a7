package org.medlardrum.transport.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
	static final int MAX_UNDECODED_LINES = 1_000;

	private static final byte LINE_FEED = '\n';

	private int undecodedBytes;

	private int undecodedLines;

	/**
	 * Installs a limit on a connection that serves a single request.
	 * @param context context of the connection
	 * @return the limit
	 */
	static UndecodedBytesLimit install(ConnectionContext context) {
		Channel channel = ((NettyConnectionContext) ConnectionContexts.unwrap(context)).nettyChannel();
		UndecodedBytesLimit limit = new UndecodedBytesLimit();
		channel.pipeline().addFirst(limit);
		return limit;
	}

	/**
	 * Records that a part of the response was decoded.
	 */
	void recordDecoded() {
		this.undecodedBytes = 0;
		this.undecodedLines = 0;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof ByteBuf bytes) {
			read(context, bytes);
		}
		else {
			context.fireChannelRead(message);
		}
	}

	// Lines are counted after the bytes were decoded, so that those of a body, which are
	// a part of a response, need not be searched for.
	private void read(ChannelHandlerContext context, ByteBuf bytes) {
		this.undecodedBytes += bytes.readableBytes();
		if (this.undecodedBytes > MAX_UNDECODED_BYTES) {
			bytes.release();
			close(context);
			return;
		}
		ByteBuf copy = bytes.retainedDuplicate();
		try {
			context.fireChannelRead(bytes);
			if (this.undecodedBytes > 0) {
				this.undecodedLines += lines(copy);
			}
		}
		finally {
			copy.release();
		}
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
		Logger.warn("client: {} sent {} bytes, {} lines, without a part of a response, the connection is closed",
				context.channel().remoteAddress(), this.undecodedBytes, this.undecodedLines);
		context.close();
	}

}
