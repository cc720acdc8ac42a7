package org.medlardrum.gateway;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a success for the caller when a server stops within the head of its
 * response and closes the connection. Every cut point is tried.
 */
class CutHeadTests {

	private static final String HEAD = "HTTP/1.1 200 x\r\nid: r1\r\nproof: p\r\n";

	private static final String CHUNKED = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

	private static final String LENGTH = "content-length: 12\r\n";

	/** Pause between two packets of a head that arrives in parts. */
	private static final long PACKET_PAUSE_MS = 2;

	@ParameterizedTest
	@CsvSource({ "/safe/1, length, false", "/unsafe/1, length, true", "/unsafe/1, none, false",
			"/stream/1, chunked, false", "/once/1, chunked, true", "/once/1, none, false",
			"/unsafe/1, informational, false" })
	void cutWithinTheHeadIsNoSuccess(String path, String framing, boolean inPackets) throws Exception {
		String response = switch (framing) {
			case "length" -> HEAD + LENGTH + "\r\n";
			case "chunked" -> HEAD + CHUNKED + "\r\n";
			case "informational" -> "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" + HEAD + LENGTH + "\r\n";
			default -> HEAD + "connection: close\r\n\r\n";
		};
		AtomicInteger cut = new AtomicInteger();
		try (GatewayFixture fixture = new GatewayFixture(1, 10_000).configured();
				FakeBackend server = new FakeBackend((head, socket, out) -> {
					String sent = response.substring(0, cut.get());
					int middle = (inPackets) ? sent.length() / 2 : 0;
					FakeBackend.write(out, sent.substring(0, middle));
					if (inPackets) {
						TimeUnit.MILLISECONDS.sleep(PACKET_PAUSE_MS);
					}
					FakeBackend.write(out, sent.substring(middle));
				})) {
			String service = (path.startsWith("/safe") || path.startsWith("/unsafe")) ? "ledger" : "pool";
			for (int length = 0; length < response.length(); length++) {
				cut.set(length);
				fixture.replace(service, "s" + length, server);
				String received = fixture.call("POST", path);
				assertThat(received).doesNotContain("HTTP/1.1 200");
				assertThat(received).containsMatch("^HTTP/1.1 50[234]");
			}
		}
	}

}
