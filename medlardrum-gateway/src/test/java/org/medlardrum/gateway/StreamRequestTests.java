package org.medlardrum.gateway;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against events that are lost, repeated or joined when a stream fails over to
 * another chain, against a truncated stream that looks complete, and against engines that
 * keep working for callers that have disconnected.
 */
class StreamRequestTests {

	private static final String HEAD = "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n"
			+ "content-type: text/event-stream\r\nid: r1\r\nproof: ";

	private GatewayFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture().configured();
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private static String event(int id) {
		return "id: " + id + "\ndata: e" + id + "\n\n";
	}

	private static FakeBackend completeStream(String proof, int from, int to) throws Exception {
		return new FakeBackend((head, socket, out) -> {
			FakeBackend.write(out, HEAD + proof + "\r\n\r\n");
			for (int id = from; id <= to; id++) {
				FakeBackend.write(out, FakeBackend.chunk(event(id)));
			}
			FakeBackend.write(out, "0\r\n\r\n");
		});
	}

	@Test
	void eventsArePassedOnInOrder() throws Exception {
		try (FakeBackend engine = completeStream("p1", 1, 5)) {
			this.fixture.register("pool", "e1", engine);
			String response = this.fixture.call("POST", "/stream/1");
			assertThat(response).contains("proof: p1");
			for (int id = 1; id <= 5; id++) {
				assertThat(response).contains(event(id));
			}
			assertThat(response).endsWith("0\r\n\r\n");
		}
	}

	@Test
	void streamThatBreaksWithinAnEventResumesAfterTheLastCompleteOne() throws Exception {
		try (FakeBackend breaking = new FakeBackend((head, socket, out) -> FakeBackend.write(out,
				HEAD + "p1\r\n\r\n" + FakeBackend.chunk(event(1) + event(2)) + FakeBackend.chunk("id: 3\nda")));
				FakeBackend next = completeStream("p2", 3, 4)) {
			this.fixture.register("pool", "e1", breaking);
			this.fixture.register("pool", "e2", next);
			String response = this.fixture.call("POST", "/stream/1");
			if (breaking.requests().isEmpty()) {
				// Both engines are equal, so the gateway may choose the other one first.
				return;
			}
			assertThat(next.requests().getFirst()).contains("after: 2");
			assertThat(response).contains("proof: p1");
			assertThat(response).doesNotContain("proof: p2");
			assertThat(response.split("data: e3", -1)).hasLength(2);
			assertThat(response).contains(event(4));
			assertThat(response).endsWith("0\r\n\r\n");
		}
	}

	@Test
	void streamThatCannotResumeDoesNotLookComplete() throws Exception {
		try (FakeBackend breaking = new FakeBackend((head, socket, out) -> FakeBackend.write(out,
				HEAD + "p1\r\n\r\n" + FakeBackend.chunk(event(1) + event(2))))) {
			this.fixture.register("pool", "e1", breaking);
			String response = this.fixture.call("POST", "/stream/1");
			assertThat(response).contains(event(2));
			assertThat(response).doesNotContain("0\r\n\r\n");
		}
	}

	@Test
	void streamFailsOverFromAStalledChain() throws Exception {
		CountDownLatch stalling = new CountDownLatch(1);
		try (FakeBackend next = completeStream("p2", 3, 4);
				FakeBackend stalled = reporting("r1 ", (head, socket, out) -> {
					FakeBackend.write(out, HEAD + "p1\r\n\r\n" + FakeBackend.chunk(event(1) + event(2)));
					stalling.await(5, TimeUnit.SECONDS);
				})) {
			registerFirstAndLater(stalled, next);
			String response = this.fixture.call("POST", "/stream/1");
			assertThat(response).contains(event(4));
			assertThat(next.requests().getFirst()).contains("after: 2");
		}
		finally {
			stalling.countDown();
		}
	}

	@Test
	void requestIsRefusedWithRetryAfterWhenNoEngineExists() throws Exception {
		String response = this.fixture.call("POST", "/stream/1");
		assertThat(response).startsWith("HTTP/1.1 503");
		assertThat(response).contains("retry-after: ");
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "connection: close\r\n" })
	void engineCallIsClosedWhenTheCallerDisconnects(String header) throws Exception {
		CountDownLatch closed = new CountDownLatch(1);
		try (FakeBackend engine = new FakeBackend((head, socket, out) -> {
			FakeBackend.write(out, HEAD + "p1\r\n\r\n" + FakeBackend.chunk(event(1)));
			try {
				socket.getInputStream().read();
			}
			finally {
				// The read ends with the end of the stream or with a reset.
				closed.countDown();
			}
		})) {
			this.fixture.register("pool", "e1", engine);
			try (Socket caller = this.fixture.send("POST", "/stream/1", "key: k1\r\n" + header)) {
				assertThat(caller.getInputStream().read()).isAtLeast(0);
			}
			assertThat(closed.await(3, TimeUnit.SECONDS)).isTrue();
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "connection: close\r\n" })
	void unresponsiveEngineCallIsClosedWhenTheCallerDisconnectsWithoutAReset(String header) throws Exception {
		CountDownLatch received = new CountDownLatch(1);
		CountDownLatch closed = new CountDownLatch(1);
		try (FakeBackend engine = reporting("", (head, socket, out) -> {
			received.countDown();
			try {
				socket.getInputStream().read();
			}
			finally {
				closed.countDown();
			}
		})) {
			this.fixture.register("pool", "e1", engine);
			try (Socket caller = this.fixture.send("POST", "/stream/1", "key: k1\r\n" + header)) {
				assertThat(received.await(3, TimeUnit.SECONDS)).isTrue();
			}
			assertThat(closed.await(400, TimeUnit.MILLISECONDS)).isTrue();
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "connection: close\r\n" })
	void engineCallIsClosedWhenTheCallerResetsItsConnection(String header) throws Exception {
		CountDownLatch received = new CountDownLatch(1);
		CountDownLatch closed = new CountDownLatch(1);
		try (FakeBackend engine = reporting("", (head, socket, out) -> {
			received.countDown();
			try {
				socket.getInputStream().read();
			}
			finally {
				closed.countDown();
			}
		})) {
			this.fixture.register("pool", "e1", engine);
			try (Socket caller = this.fixture.send("POST", "/stream/1", "key: k1\r\n" + header)) {
				assertThat(received.await(3, TimeUnit.SECONDS)).isTrue();
				caller.setSoLinger(true, 0);
			}
			assertThat(closed.await(2, TimeUnit.SECONDS)).isTrue();
		}
	}

	/**
	 * Guards against late events after an engine in the middle of a chain fails: the
	 * first engine's report names it only after the longest gap that is within the
	 * target.
	 */
	@Test
	void stalledStreamFailsOverWithinItsTarget() throws Exception {
		CountDownLatch end = new CountDownLatch(1);
		try (FakeBackend next = completeStream("p2", 7, 9); FakeBackend stalled = reporting("", (head, socket, out) -> {
			FakeBackend.write(out, HEAD + "p1\r\n\r\n");
			for (int id = 1; id <= 6; id++) {
				FakeBackend.write(out, FakeBackend.chunk(event(id)));
				Thread.sleep(10);
			}
			end.await(5, TimeUnit.SECONDS);
		})) {
			registerFirstAndLater(stalled, next);
			String response = this.fixture.call("POST", "/stream/1");
			assertThat(response).contains(event(9));
			assertThat(next.requests().getFirst()).contains("after: 6");
		}
		finally {
			end.countDown();
		}
	}

	@Test
	void failureAfterAPossibleExecutionIsNotReportedAsARefusal() throws Exception {
		try (FakeBackend breaking = new FakeBackend((head, socket, out) -> socket.close())) {
			this.fixture.register("pool", "e1", breaking);
			assertThat(this.fixture.call("POST", "/stream/1")).startsWith("HTTP/1.1 502");
		}
	}

	@Test
	void failureOfTheLastEngineIsPassedOnWithItsProof() throws Exception {
		String failure = "id: r1\r\nproof: p1\r\n";
		try (FakeBackend first = new FakeBackend(FakeBackend.response(500, failure, "no"));
				FakeBackend second = new FakeBackend(FakeBackend.response(500, failure, "no"))) {
			this.fixture.register("pool", "e1", first);
			this.fixture.register("pool", "e2", second);
			String response = this.fixture.call("POST", "/stream/1");
			assertThat(response).startsWith("HTTP/1.1 500");
			assertThat(response).contains("proof: p1");
			assertThat(first.requests().size() + second.requests().size()).isEqualTo(2);
		}
	}

	/**
	 * Guards against breaking off streams while an engine drains and no other chain has
	 * free capacity: the leaving engine would have finished them.
	 */
	@Test
	void streamStaysAtALeavingEngineWhenNoOtherHasFreeCapacity() throws Exception {
		try (FakeBackend leaving = new FakeBackend((head, socket, out) -> {
			FakeBackend.write(out, HEAD + "p1\r\n\r\n");
			for (int id = 1; id <= 20; id++) {
				FakeBackend.write(out, FakeBackend.chunk(event(id)));
				Thread.sleep(100);
			}
			FakeBackend.write(out, "0\r\n\r\n");
		})) {
			this.fixture.register("pool", "e1", leaving);
			Thread.ofVirtual().start(() -> {
				while (leaving.requests().isEmpty()) {
					Thread.onSpinWait();
				}
				this.fixture.gateway().updateInstances(List.of());
			});
			String response = this.fixture.call("POST", "/stream/1");
			assertThat(response).contains(event(20));
			assertThat(response).endsWith("0\r\n\r\n");
		}
	}

	/**
	 * Guards against breaking off a slow stream in an overload: the next engine sheds the
	 * stream, no other chain has free capacity, and the first chain is only slow.
	 */
	@Test
	void slowStreamStaysAtItsChainWhenTheNextOneRefuses() throws Exception {
		String refusal = "id: r1\r\nnot-run: 1\r\n";
		try (FakeBackend next = new FakeBackend(FakeBackend.response(503, refusal, ""));
				FakeBackend slow = stallingOnce(6, 9, 200)) {
			registerFirstAndLater(slow, next);
			String response = this.fixture.call("POST", "/stream/1");
			assertThat(next.requests()).hasSize(1);
			assertThat(response).contains(event(9));
			assertThat(response).endsWith("0\r\n\r\n");
		}
	}

	/**
	 * Guards against two chains that keep working for one caller: the one that sends the
	 * next event continues, and the other attempt is cancelled.
	 */
	@Test
	void secondChainIsCancelledWhenTheSlowOneContinues() throws Exception {
		CountDownLatch stopped = new CountDownLatch(1);
		try (FakeBackend next = new FakeBackend((head, socket, out) -> {
			try {
				socket.getInputStream().read();
			}
			finally {
				stopped.countDown();
			}
		}); FakeBackend slow = stallingOnce(6, 9, 200)) {
			registerFirstAndLater(slow, next);
			String response = this.fixture.call("POST", "/stream/1");
			assertThat(next.requests()).hasSize(1);
			for (int id = 1; id <= 9; id++) {
				assertThat(response.split("data: e" + id + "\n", -1)).hasLength(2);
			}
			assertThat(response).endsWith("0\r\n\r\n");
			assertThat(stopped.await(400, TimeUnit.MILLISECONDS)).isTrue();
		}
	}

	@Test
	void brokenStreamContinuesOnTheConcurrentlyStartedChain() throws Exception {
		try (FakeBackend next = new FakeBackend((head, socket, out) -> {
			Thread.sleep(150);
			FakeBackend.write(out, HEAD + "p2\r\n\r\n" + FakeBackend.chunk(event(7)) + "0\r\n\r\n");
		}); FakeBackend breaking = new FakeBackend((head, socket, out) -> {
			FakeBackend.write(out, HEAD + "p1\r\n\r\n");
			for (int id = 1; id <= 6; id++) {
				FakeBackend.write(out, FakeBackend.chunk(event(id)));
				Thread.sleep(10);
			}
			Thread.sleep(180);
		})) {
			registerFirstAndLater(breaking, next);
			String response = this.fixture.call("POST", "/stream/1");
			assertThat(next.requests()).hasSize(1);
			assertThat(response).contains(event(7));
			assertThat(response).endsWith("0\r\n\r\n");
		}
	}

	/**
	 * Guards against a search for another chain that never ends on a slow host, where
	 * time passes within one step: without a retry left, the caller is refused at once.
	 */
	@Test
	void streamIsRefusedAtOnceWithoutARetryLeft() throws Exception {
		try (GatewayFixture withoutRetries = new GatewayFixture(0, 0).configured();
				FakeBackend first = new FakeBackend(FakeBackend.response(503, "id: r1\r\nnot-run: 1\r\n", ""));
				FakeBackend second = completeStream("p2", 1, 4)) {
			withoutRetries.register("pool", "e1", first);
			withoutRetries.register("pool", "e2", second);
			withoutRetries.tickMs.set(1);
			String response = withoutRetries.call("POST", "/stream/1");
			assertThat(response).startsWith("HTTP/1.1 503");
			assertThat(second.requests()).isEmpty();
		}
	}

	@Test
	void nonIdempotentStreamIsNotSentToASecondChain() throws Exception {
		try (FakeBackend next = completeStream("p2", 1, 4); FakeBackend slow = new FakeBackend((head, socket, out) -> {
			Thread.sleep(400);
			FakeBackend.write(out, HEAD + "p1\r\n\r\n" + FakeBackend.chunk(event(1)) + "0\r\n\r\n");
		})) {
			registerFirstAndLater(slow, next);
			String response = this.fixture.call("POST", "/once/1");
			assertThat(response).contains("proof: p1");
			assertThat(next.requests()).isEmpty();
		}
	}

	// Engine whose report names its own address after a prefix, or is empty without one.
	private static FakeBackend reporting(String stalledPrefix, FakeBackend.Script requests) throws Exception {
		return new FakeBackend((head, socket, out) -> {
			if (head.startsWith("get /report")) {
				String own = "127.0.0.1:" + socket.getLocalPort();
				String body = (stalledPrefix.isEmpty()) ? "" : stalledPrefix + own;
				FakeBackend.response(200, "", body).handle(head, socket, out);
				return;
			}
			requests.handle(head, socket, out);
		});
	}

	// Engine that stalls once, for less than the time after which it is probed.
	private static FakeBackend stallingOnce(int beforeStall, int last, long stallMs) throws Exception {
		return reporting("", (head, socket, out) -> {
			FakeBackend.write(out, HEAD + "p1\r\n\r\n");
			for (int id = 1; id <= last; id++) {
				FakeBackend.write(out, FakeBackend.chunk(event(id)));
				Thread.sleep((id == beforeStall) ? stallMs : 10);
			}
			FakeBackend.write(out, "0\r\n\r\n");
		});
	}

	private void registerFirstAndLater(FakeBackend first, FakeBackend later) {
		this.fixture.register("pool", "e1", first);
		Thread.ofVirtual().start(() -> {
			while (first.requests().isEmpty()) {
				Thread.onSpinWait();
			}
			this.fixture.register("pool", "e2", later);
		});
	}

}
