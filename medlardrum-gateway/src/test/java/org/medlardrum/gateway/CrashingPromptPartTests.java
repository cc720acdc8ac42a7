package org.medlardrum.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a part of a prompt that crashes each server that begins to answer it, in
 * requests of which no two are alike, and against the loss of the sound requests beside
 * them.
 */
class CrashingPromptPartTests {

	/** Crashes after which the users' rules take the part as known. */
	private static final int CRASHES = 5;

	/** Further sends that the users' rules tolerate. */
	private static final int TOLERATED_SENDS = 3;

	private static final int CALLS = 14;

	/** Time in which the servers of these tests begin to answer. */
	private static final long PREFILL_MS = 40;

	private static final String DEADLY = "parts: common,deadly,own";

	private final List<FakeBackend> servers = new ArrayList<>();

	private GatewayFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture().configured();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
		for (FakeBackend server : this.servers) {
			server.close();
		}
	}

	/**
	 * Returns a server that reads {@code batch} prompts before it begins to answer, and
	 * that ends with all its connections if one of them has the deadly part.
	 */
	private FakeBackend server(int batch) throws Exception {
		AtomicReference<FakeBackend> self = new AtomicReference<>();
		Queue<Socket> connections = new ConcurrentLinkedQueue<>();
		FakeBackend server = new FakeBackend((head, socket, out) -> {
			connections.add(socket);
			for (long waitedMs = 0; connections.size() < batch && waitedMs < 2_000; waitedMs += 5) {
				Thread.sleep(5);
			}
			Thread.sleep(PREFILL_MS);
			if (head.contains("deadly")) {
				self.get().close();
				for (Socket connection : connections) {
					connection.close();
				}
				return;
			}
			Thread.sleep(PREFILL_MS);
			FakeBackend.response(200, "proof: p\r\nid: r1\r\n", "id: 1\n\n").handle(head, socket, out);
		});
		self.set(server);
		this.servers.add(server);
		return server;
	}

	private String call(int number, String parts) throws IOException {
		return this.fixture.callWith("POST", "/stream/" + number, "key: k1\r\n" + parts + number + "\r\n");
	}

	@Test
	void requestsWithADeadlyPartAreNotSentWithoutEnd() throws Exception {
		for (int i = 0; i < CALLS; i++) {
			// Each server ends with the request, and another one starts in its place.
			this.fixture.replace("pool", "e" + i, server(1));
			call(i, DEADLY);
		}
		int sends = this.servers.stream().mapToInt((server) -> server.requests().size()).sum();
		assertThat(sends).isAtMost(CRASHES + TOLERATED_SENDS);
		assertThat(call(CALLS, "parts: common,sound,own")).startsWith("HTTP/1.1 200");
		assertThat(call(CALLS, DEADLY)).startsWith("HTTP/1.1 503");
	}

	/**
	 * Without it, the request that ended one of two servers would end the other.
	 */
	@Test
	void lastServerIsNotPutAtRiskByATrial() throws Exception {
		this.fixture.register("pool", "e1", server(1));
		this.fixture.register("pool", "e2", server(1));
		call(1, DEADLY);
		assertThat(call(2, DEADLY)).startsWith("HTTP/1.1 503");
		assertThat(call(3, "parts: common-2,own")).startsWith("HTTP/1.1 200");
		assertThat(this.servers.stream().filter(FakeBackend::isClosed).count()).isEqualTo(1);
	}

	@Test
	void soundRequestsOfACrashedBatchAreServedAndTheServersGoOn() throws Exception {
		int batch = 3;
		this.fixture.register("pool", "e1", server(batch));
		for (int i = 2; i <= 4; i++) {
			this.fixture.register("pool", "e" + i, server(1));
		}
		try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
			List<Callable<String>> calls = List.of(() -> call(1, DEADLY), () -> call(2, "parts: common,sound-1,own"),
					() -> call(3, "parts: common,sound-2,own"));
			List<Future<String>> answers = callers.invokeAll(calls, 10, TimeUnit.SECONDS);
			assertThat(answers.get(1).get()).startsWith("HTTP/1.1 200");
			assertThat(answers.get(2).get()).startsWith("HTTP/1.1 200");
		}
		long ended = this.servers.stream().filter(FakeBackend::isClosed).count();
		assertThat(ended).isAtMost(2);
		assertThat(call(4, "parts: common,sound-3,own")).startsWith("HTTP/1.1 200");
	}

}
