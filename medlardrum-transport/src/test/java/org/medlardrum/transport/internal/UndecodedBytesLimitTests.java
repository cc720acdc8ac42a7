package org.medlardrum.transport.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against servers that fill the memory with the header or trailer fields of many
 * responses: a short field takes forty times its length in memory.
 */
class UndecodedBytesLimitTests {

	private final UndecodedBytesLimit limit = new UndecodedBytesLimit();

	@ParameterizedTest
	@CsvSource({ "a: b, 1000, 1, true", "a: b, 1001, 1, false", "a: b, 100, 11, false", "a: b, 10, 100, true",
			"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaa: b, 1001, 1, false", "a: b, 100, 30, false" })
	void linesWithoutAPartOfAResponseAreLimited(String line, int lines, int reads, boolean open) {
		EmbeddedChannel channel = new EmbeddedChannel(this.limit);
		read(channel, line, lines, reads);
		assertThat(channel.isOpen()).isEqualTo(open);
		channel.finishAndReleaseAll();
	}

	@ParameterizedTest
	@CsvSource({ "x, 20000, 100", "'', 60000, 50" })
	void linesOfABodyAreNotLimited(String line, int lines, int reads) {
		EmbeddedChannel channel = new EmbeddedChannel(this.limit, new Decoder());
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
	private final class Decoder extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			((ByteBuf) message).release();
			UndecodedBytesLimitTests.this.limit.recordDecoded();
		}

	}

}
