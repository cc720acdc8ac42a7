package org.medlardrum.gateway.internal.log;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a stalled output that blocks requests, and against lines that cannot be
 * parsed.
 */
class DecisionLogTests {

	/** Several times the capacity of the ring buffer. */
	private static final int LINES = 20_000;

	/** Lower bound of the lines that find the ring buffer full. */
	private static final int MIN_DROPPED_LINES = 1_000;

	@Test
	void stalledOutputDoesNotBlockAndDroppedLinesAreCounted() {
		CountDownLatch release = new CountDownLatch(1);
		PrintStream stalled = new PrintStream(new OutputStream() {

			@Override
			public void write(int value) {
				try {
					release.await();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}

		}, false);
		try (DecisionLog log = new DecisionLog(stalled)) {
			for (int i = 0; i < LINES; i++) {
				log.event("test", "line", "number", i);
			}
			assertThat(log.dropped()).isGreaterThan(MIN_DROPPED_LINES);
			release.countDown();
		}
	}

	@Test
	void valuesAreQuotedAndControlCharactersBecomeSpaces() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DecisionLog log = new DecisionLog(new PrintStream(bytes, true, StandardCharsets.UTF_8))) {
			log.event("test", "line", "id", "r1", "reason", "said \"no\"\nand left");
		}
		assertThat(bytes.toString(StandardCharsets.UTF_8))
			.contains("part=test event=line id=r1 reason=\"said \\\"no\\\" and left\"\n");
	}

}
