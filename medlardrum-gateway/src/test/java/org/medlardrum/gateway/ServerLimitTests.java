package org.medlardrum.gateway;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests that reach more servers than their routes allow or that reach a
 * server after their deadline, as seen by the servers.
 */
class ServerLimitTests {

	private static final String STREAM_HEAD = "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n"
			+ "content-type: text/event-stream\r\nid: r1\r\nproof: p1\r\n\r\n";

	private static final String FIRST_EVENT = FakeBackend.chunk("id: 1\ndata: e1\n\n");

	/** Limit of the fixture's routes that may be repeated. */
	private static final int MAX_SERVERS = 2;

	private GatewayFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture().configured();
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private static int received(FakeBackend... backends) {
		return List.of(backends).stream().mapToInt((backend) -> backend.requests().size()).sum();
	}

	@Test
	void suspicionOfAServerAllowsNoFurtherServer() throws Exception {
		CountDownLatch end = new CountDownLatch(1);
		FakeBackend.Script stalling = (head, socket, out) -> {
			if (head.startsWith("get /report")) {
				FakeBackend.response(200, "", "r1 127.0.0.1:" + socket.getLocalPort()).handle(head, socket, out);
				return;
			}
			FakeBackend.write(out, STREAM_HEAD + FIRST_EVENT);
			end.await(5, TimeUnit.SECONDS);
		};
		try (FakeBackend first = new FakeBackend(stalling);
				FakeBackend second = new FakeBackend(stalling);
				FakeBackend third = new FakeBackend(stalling)) {
			this.fixture.register("pool", "e1", first);
			this.fixture.register("pool", "e2", second);
			this.fixture.register("pool", "e3", third);
			this.fixture.call("POST", "/stream/1");
			assertThat(received(first, second, third)).isAtMost(MAX_SERVERS);
		}
		finally {
			end.countDown();
		}
	}

	// Engine that breaks its stream after the first event, once the registry has changed.
	private static FakeBackend breakingAfter(CountDownLatch registryChange) throws Exception {
		return new FakeBackend((head, socket, out) -> {
			FakeBackend.write(out, STREAM_HEAD + FIRST_EVENT);
			registryChange.await(5, TimeUnit.SECONDS);
		});
	}

	@Test
	void removalOfAServerFromTheRegistryAllowsNoFurtherServer() throws Exception {
		CountDownLatch secondOnly = new CountDownLatch(1);
		CountDownLatch thirdOnly = new CountDownLatch(1);
		this.fixture.pauseClock();
		this.fixture.confirm();
		try (FakeBackend first = breakingAfter(secondOnly);
				FakeBackend second = breakingAfter(thirdOnly);
				FakeBackend third = breakingAfter(thirdOnly)) {
			this.fixture.register("pool", "e1", first);
			Thread.ofVirtual().start(() -> {
				while (first.requests().isEmpty()) {
					Thread.onSpinWait();
				}
				this.fixture.replace("pool", "e2", second);
				secondOnly.countDown();
				while (second.requests().isEmpty()) {
					Thread.onSpinWait();
				}
				this.fixture.replace("pool", "e3", third);
				thirdOnly.countDown();
			});
			this.fixture.call("POST", "/stream/1");
			assertThat(second.requests()).hasSize(1);
			assertThat(third.requests()).isEmpty();
		}
	}

	@ParameterizedTest
	@CsvSource({ "POST, /stream/1, pool", "GET, /safe/1, ledger" })
	void requestIsNotSentAfterItsDeadline(String method, String path, String service) throws Exception {
		FakeBackend.Script breakingAfterTheDeadline = (head, socket, out) -> {
			this.fixture.clockOffsetMs.addAndGet(2_000);
			this.fixture.confirm();
			socket.close();
		};
		try (FakeBackend first = new FakeBackend(breakingAfterTheDeadline);
				FakeBackend second = new FakeBackend(breakingAfterTheDeadline)) {
			this.fixture.register(service, "s1", first);
			this.fixture.register(service, "s2", second);
			this.fixture.callWith(method, path, "key: k1\r\ndeadline: 1000\r\n");
			assertThat(received(first, second)).isEqualTo(1);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "id: other\r\nproof: p1\r\n", "id: r1\r\n" })
	void nonIdempotentStreamWithAnInvalidResponseIsNotSentAgain(String headers) throws Exception {
		FakeBackend.Script invalid = FakeBackend.response(200, headers, "x");
		try (FakeBackend first = new FakeBackend(invalid); FakeBackend second = new FakeBackend(invalid)) {
			this.fixture.register("pool", "e1", first);
			this.fixture.register("pool", "e2", second);
			String response = this.fixture.call("POST", "/once/1");
			assertThat(received(first, second)).isEqualTo(1);
			assertThat(response).startsWith("HTTP/1.1 502");
		}
	}

}
