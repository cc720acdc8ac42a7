package org.medlardrum.transport.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.servicetalk.buffer.netty.BufferAllocators;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against servers that fill the memory with the header or trailer fields of many
 * responses: a short field takes forty times its length in memory.
 */
class UndecodedBytesLimitTests {

	private final UndecodedBytesLimit limit = new UndecodedBytesLimit();

	private final Failures failures = new Failures();

	@ParameterizedTest
	@CsvSource({ "a: b, 256, 1, true", "a: b, 257, 1, false", "a: b, 100, 3, false", "a: b, 10, 25, true",
			"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaa: b, 257, 1, false", "a: b, 20000, 1, false" })
	void linesWithoutAPartOfAResponseAreLimited(String line, int lines, int reads, boolean open) {
		EmbeddedChannel channel = new EmbeddedChannel(this.limit, this.failures);
		read(channel, line, lines, reads);
		assertThat(channel.isOpen()).isEqualTo(open);
		// A body that ends with its connection must not seem to be complete.
		assertThat(this.failures.failed).isEqualTo(!open);
		channel.finishAndReleaseAll();
	}

	/**
	 * The rest of a read is not decoded: what was decoded is kept until all connections
	 * have been read.
	 */
	@ParameterizedTest
	@CsvSource({ "a: b, 12000", "aaaaaaaaaaaaaaaaaaaaaaaa: b, 2000" })
	void decodedLinesAreLimited(String line, int lines) {
		EmbeddedChannel channel = new EmbeddedChannel(this.limit, this.failures);
		read(channel, line, lines, 1);
		int decodedBytes = 0;
		for (ByteBuf part = channel.readInbound(); part != null; part = channel.readInbound()) {
			decodedBytes += part.readableBytes();
			part.release();
		}
		assertThat(decodedBytes / (line.length() + 1)).isAtMost(UndecodedBytesLimit.MAX_UNDECODED_LINES + 2_048 / 5);
		channel.finishAndReleaseAll();
	}

	@ParameterizedTest
	@CsvSource({ "x, 20000, 100", "'', 60000, 50" })
	void linesOfABodyAreNotLimited(String line, int lines, int reads) {
		EmbeddedChannel channel = new EmbeddedChannel(this.limit, new Decoder(), this.limit.decodedParts(),
				this.failures);
		read(channel, line, lines, reads);
		assertThat(channel.isOpen()).isTrue();
		channel.finishAndReleaseAll();
	}

	private static void read(EmbeddedChannel channel, String line, int lines, int reads) {
		for (int i = 0; i < reads && channel.isOpen(); i++) {
			channel.writeInbound(Unpooled.copiedBuffer((line + "\n").repeat(lines).getBytes()));
		}
	}

	/** Decodes a part of a response with each read. */
	private static final class Decoder extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			((ByteBuf) message).release();
			context.fireChannelRead(BufferAllocators.PREFER_HEAP_ALLOCATOR.fromAscii("x"));
		}

	}

	private static final class Failures extends ChannelInboundHandlerAdapter {

		private boolean failed;

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
			this.failed = true;
		}

	}

}
