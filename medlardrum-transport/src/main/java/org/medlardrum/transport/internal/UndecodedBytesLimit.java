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

	private int undecodedBytes;

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
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof ByteBuf bytes) {
			this.undecodedBytes += bytes.readableBytes();
			if (this.undecodedBytes > MAX_UNDECODED_BYTES) {
				Logger.warn("client: {} sent {} bytes without a part of a response, the connection is closed",
						context.channel().remoteAddress(), this.undecodedBytes);
				bytes.release();
				context.close();
				return;
			}
		}
		context.fireChannelRead(message);
	}

}
