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
 * Guards against events that are lost, repeated or joined when a stream goes on at
 * another chain, against a cut stream that looks complete, and against work for callers
 * that left.
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

	private static FakeBackend whole(String proof, int from, int to) throws Exception {
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
		try (FakeBackend engine = whole("p1", 1, 5)) {
			this.fixture.register("pool", "e1", engine);
			String answer = this.fixture.call("POST", "/stream/1");
			assertThat(answer).contains("proof: p1");
			for (int id = 1; id <= 5; id++) {
				assertThat(answer).contains(event(id));
			}
			assertThat(answer).endsWith("0\r\n\r\n");
		}
	}

	@Test
	void streamThatBreaksWithinAnEventGoesOnAfterTheLastWholeOne() throws Exception {
		try (FakeBackend breaking = new FakeBackend((head, socket, out) -> FakeBackend.write(out,
				HEAD + "p1\r\n\r\n" + FakeBackend.chunk(event(1) + event(2)) + FakeBackend.chunk("id: 3\nda")));
				FakeBackend next = whole("p2", 3, 4)) {
			this.fixture.register("pool", "e1", breaking);
			this.fixture.register("pool", "e2", next);
			String answer = this.fixture.call("POST", "/stream/1");
			if (breaking.requests().isEmpty()) {
				// Equal engines: the other one may be chosen first.
				return;
			}
			assertThat(next.requests().getFirst()).contains("after: 2");
			assertThat(answer).contains("proof: p1");
			assertThat(answer).doesNotContain("proof: p2");
			assertThat(answer.split("data: e3", -1)).hasLength(2);
			assertThat(answer).contains(event(4));
			assertThat(answer).endsWith("0\r\n\r\n");
		}
	}

	@Test
	void streamThatCannotGoOnDoesNotLookComplete() throws Exception {
		try (FakeBackend breaking = new FakeBackend((head, socket, out) -> FakeBackend.write(out,
				HEAD + "p1\r\n\r\n" + FakeBackend.chunk(event(1) + event(2))))) {
			this.fixture.register("pool", "e1", breaking);
			String answer = this.fixture.call("POST", "/stream/1");
			assertThat(answer).contains(event(2));
			assertThat(answer).doesNotContain("0\r\n\r\n");
		}
	}

	@Test
	void stalledChainIsLeftForTheNext() throws Exception {
		CountDownLatch stalling = new CountDownLatch(1);
		try (FakeBackend next = whole("p2", 3, 4); FakeBackend stalled = reporting("r1 ", (head, socket, out) -> {
			FakeBackend.write(out, HEAD + "p1\r\n\r\n" + FakeBackend.chunk(event(1) + event(2)));
			stalling.await(5, TimeUnit.SECONDS);
		})) {
			registerFirstAndLater(stalled, next);
			String answer = this.fixture.call("POST", "/stream/1");
			assertThat(answer).contains(event(4));
			assertThat(next.requests().getFirst()).contains("after: 2");
		}
		finally {
			stalling.countDown();
		}
	}

	@Test
	void noEngineIsARefusalWithATimeToComeBack() throws Exception {
		String answer = this.fixture.call("POST", "/stream/1");
		assertThat(answer).startsWith("HTTP/1.1 503");
		assertThat(answer).contains("retry-after: ");
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "connection: close\r\n" })
	void engineStopsWhenTheCallerLeaves(String header) throws Exception {
		CountDownLatch closed = new CountDownLatch(1);
		try (FakeBackend engine = new FakeBackend((head, socket, out) -> {
			FakeBackend.write(out, HEAD + "p1\r\n\r\n" + FakeBackend.chunk(event(1)));
			try {
				socket.getInputStream().read();
			}
			finally {
				// The end of the stream or a reset.
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
	void silentEngineStopsWhenTheCallerLeavesWithoutAReset(String header) throws Exception {
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

	/**
	 * Replays the loss of an engine in the middle of a chain: its report names the engine
	 * only after the longest pause that is on time.
	 */
	@Test
	void silentStreamGoesOnInTimeForItsTarget() throws Exception {
		CountDownLatch end = new CountDownLatch(1);
		try (FakeBackend next = whole("p2", 7, 9); FakeBackend silent = reporting("", (head, socket, out) -> {
			FakeBackend.write(out, HEAD + "p1\r\n\r\n");
			for (int id = 1; id <= 6; id++) {
				FakeBackend.write(out, FakeBackend.chunk(event(id)));
				Thread.sleep(10);
			}
			end.await(5, TimeUnit.SECONDS);
		})) {
			registerFirstAndLater(silent, next);
			String answer = this.fixture.call("POST", "/stream/1");
			assertThat(answer).contains(event(9));
			assertThat(next.requests().getFirst()).contains("after: 6");
		}
		finally {
			end.countDown();
		}
	}

	@Test
	void refusalAfterAnAttemptThatMayHaveRunDoesNotPromiseOtherwise() throws Exception {
		try (FakeBackend breaking = new FakeBackend((head, socket, out) -> socket.close())) {
			this.fixture.register("pool", "e1", breaking);
			assertThat(this.fixture.call("POST", "/stream/1")).startsWith("HTTP/1.1 502");
		}
	}

	@Test
	void failureOfTheLastEngineIsPassedOnWithItsProof() throws Exception {
		String failure = "id: r1\r\nproof: p1\r\n";
		try (FakeBackend first = new FakeBackend(FakeBackend.answer(500, failure, "no"));
				FakeBackend second = new FakeBackend(FakeBackend.answer(500, failure, "no"))) {
			this.fixture.register("pool", "e1", first);
			this.fixture.register("pool", "e2", second);
			String answer = this.fixture.call("POST", "/stream/1");
			assertThat(answer).startsWith("HTTP/1.1 500");
			assertThat(answer).contains("proof: p1");
			assertThat(first.requests().size() + second.requests().size()).isEqualTo(2);
		}
	}

	/**
	 * Replays a drain while no other chain has room: streams were cut off that their
	 * leaving engine would have finished.
	 */
	@Test
	void streamStaysAtALeavingEngineWhereNoOtherHasRoom() throws Exception {
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
			String answer = this.fixture.call("POST", "/stream/1");
			assertThat(answer).contains(event(20));
			assertThat(answer).endsWith("0\r\n\r\n");
		}
	}

	/**
	 * Replays an overload: the next engine sheds a stream that moves, and no other chain
	 * has room. The stream was broken off although its first chain was only slow.
	 */
	@Test
	void slowStreamStaysAtItsChainWhereTheNextOneRefuses() throws Exception {
		String refusal = "id: r1\r\nnot-run: 1\r\n";
		try (FakeBackend next = new FakeBackend(FakeBackend.answer(503, refusal, ""));
				FakeBackend slow = pausing(6, 9, 200)) {
			registerFirstAndLater(slow, next);
			String answer = this.fixture.call("POST", "/stream/1");
			assertThat(next.requests()).hasSize(1);
			assertThat(answer).contains(event(9));
			assertThat(answer).endsWith("0\r\n\r\n");
		}
	}

	/**
	 * Guards against two chains that work for one caller: the one that answers first goes
	 * on, and the other is told to stop.
	 */
	@Test
	void secondChainStopsWhenTheSlowOneGoesOn() throws Exception {
		CountDownLatch stopped = new CountDownLatch(1);
		try (FakeBackend next = new FakeBackend((head, socket, out) -> {
			try {
				socket.getInputStream().read();
			}
			finally {
				stopped.countDown();
			}
		}); FakeBackend slow = pausing(6, 9, 200)) {
			registerFirstAndLater(slow, next);
			String answer = this.fixture.call("POST", "/stream/1");
			assertThat(next.requests()).hasSize(1);
			for (int id = 1; id <= 9; id++) {
				assertThat(answer.split("data: e" + id + "\n", -1)).hasLength(2);
			}
			assertThat(answer).endsWith("0\r\n\r\n");
			assertThat(stopped.await(400, TimeUnit.MILLISECONDS)).isTrue();
		}
	}

	@Test
	void brokenStreamGoesOnAtTheChainThatWasAskedMeanwhile() throws Exception {
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
			String answer = this.fixture.call("POST", "/stream/1");
			assertThat(next.requests()).hasSize(1);
			assertThat(answer).contains(event(7));
			assertThat(answer).endsWith("0\r\n\r\n");
		}
	}

	@Test
	void streamThatMayNotRunTwiceIsNotSentToASecondChain() throws Exception {
		try (FakeBackend next = whole("p2", 1, 4); FakeBackend slow = new FakeBackend((head, socket, out) -> {
			Thread.sleep(400);
			FakeBackend.write(out, HEAD + "p1\r\n\r\n" + FakeBackend.chunk(event(1)) + "0\r\n\r\n");
		})) {
			registerFirstAndLater(slow, next);
			String answer = this.fixture.call("POST", "/once/1");
			assertThat(answer).contains("proof: p1");
			assertThat(next.requests()).isEmpty();
		}
	}

	// An engine whose report names itself behind a prefix, or nothing for no prefix.
	private static FakeBackend reporting(String stalledPrefix, FakeBackend.Script requests) throws Exception {
		return new FakeBackend((head, socket, out) -> {
			if (head.startsWith("get /report")) {
				String own = "127.0.0.1:" + socket.getLocalPort();
				String body = (stalledPrefix.isEmpty()) ? "" : stalledPrefix + own;
				FakeBackend.answer(200, "", body).answer(head, socket, out);
				return;
			}
			requests.answer(head, socket, out);
		});
	}

	// An engine that pauses once, for less than the time after which it is asked why.
	private static FakeBackend pausing(int beforePause, int last, long pauseMs) throws Exception {
		return reporting("", (head, socket, out) -> {
			FakeBackend.write(out, HEAD + "p1\r\n\r\n");
			for (int id = 1; id <= last; id++) {
				FakeBackend.write(out, FakeBackend.chunk(event(id)));
				Thread.sleep((id == beforePause) ? pauseMs : 10);
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
