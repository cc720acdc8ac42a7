package org.medlardrum.gateway;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a report call for each of many streams that fall silent at the same
 * moment at one engine.
 */
class SharedReportTests {

	private static final int STREAMS = 8;

	/** The report is asked for again every 200 ms or later while the silence lasts. */
	private static final int MAX_REPORTS = 10;

	private static final long SILENCE_MS = 1_200;

	@Test
	void silentStreamsOfAnEngineShareItsReports() throws Exception {
		AtomicInteger reports = new AtomicInteger();
		CountDownLatch begun = new CountDownLatch(STREAMS);
		try (GatewayFixture fixture = new GatewayFixture().configured();
				FakeBackend engine = new FakeBackend((head, socket, out) -> {
					if (head.startsWith("get /report")) {
						reports.incrementAndGet();
						FakeBackend.response(200, "", "").handle(head, socket, out);
						return;
					}
					FakeBackend.write(out,
							"HTTP/1.1 200 x\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
									+ "id: r1\r\nproof: p\r\n\r\n" + FakeBackend.chunk("id: 1\ndata: x\n\n"));
					begun.countDown();
					begun.await();
					Thread.sleep(SILENCE_MS);
					FakeBackend.write(out, FakeBackend.chunk("id: 2\ndata: x\n\n") + "0\r\n\r\n");
				})) {
			fixture.register("pool", "e1", engine);
			List<Socket> streams = new ArrayList<>();
			for (int i = 0; i < STREAMS; i++) {
				streams.add(fixture.send("POST", "/stream/1", "connection: close\r\nkey: k1\r\n"));
			}
			for (Socket stream : streams) {
				assertThat(GatewayFixture.readAll(stream.getInputStream())).contains("id: 2");
				stream.close();
			}
			assertThat(reports.get()).isAtLeast(1);
			assertThat(reports.get()).isAtMost(MAX_REPORTS);
		}
	}

}
