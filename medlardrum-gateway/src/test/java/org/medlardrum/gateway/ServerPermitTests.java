package org.medlardrum.gateway;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests to servers that have said that they are leaving, or that they
 * want no requests for a time.
 */
class ServerPermitTests {

	private static final String GOOD = "id: r1\r\nproof: p\r\n";

	private static final FakeBackend.Script SERVE = FakeBackend.response(200, GOOD, "id: 1\n\n");

	private static final FakeBackend.Script LEAVE = FakeBackend.response(200, GOOD + "leaving: 1\r\n", "id: 1\n\n");

	/** A refusal of a server that wants no requests for 2 s. */
	private static final FakeBackend.Script PAUSE = FakeBackend.response(503, "id: r1\r\nnot-run: 1\r\npause: 2\r\n",
			"");

	private static final long PAUSE_MS = 2_000;

	/** The users' rule counts requests that arrive later than this after the refusal. */
	private static final long GRACE_MS = 500;

	/** Limit of requests in the rest of the pause by the users' rule. */
	private static final int MAX_ARRIVALS_IN_PAUSE = 2;

	private static final long STEP_MS = 50;

	private static final Pattern RETRY_AFTER = Pattern.compile("(?i)retry-after: ([0-9.]+)");

	private final AtomicReference<FakeBackend.Script> first = new AtomicReference<>(SERVE);

	private final AtomicReference<FakeBackend.Script> second = new AtomicReference<>(SERVE);

	private GatewayFixture fixture;

	private FakeBackend firstServer;

	private FakeBackend secondServer;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture().configured();
		this.fixture.pauseClock();
		this.firstServer = new FakeBackend((head, socket, out) -> this.first.get().handle(head, socket, out));
		this.secondServer = new FakeBackend((head, socket, out) -> this.second.get().handle(head, socket, out));
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
		this.firstServer.close();
		this.secondServer.close();
	}

	private static String service(String path) {
		return (path.startsWith("/safe") || path.startsWith("/unsafe")) ? "ledger" : "pool";
	}

	private void registerBoth(String path) {
		this.fixture.register(service(path), "s1", this.firstServer);
		this.fixture.register(service(path), "s2", this.secondServer);
	}

	private void advance(long ms) {
		this.fixture.clockOffsetMs.addAndGet(ms);
		this.fixture.confirm();
	}

	private int arrivalsDuring(long durationMs, String path) throws Exception {
		int before = this.firstServer.requests().size();
		for (long ms = 0; ms < durationMs; ms += STEP_MS) {
			assertThat(this.fixture.call("POST", path)).startsWith("HTTP/1.1 200");
			advance(STEP_MS);
		}
		return this.firstServer.requests().size() - before;
	}

	@ParameterizedTest
	@ValueSource(strings = { "/safe/1", "/unsafe/1", "/stream/1", "/once/1" })
	void floodDoesNotReachAServerDuringItsPause(String path) throws Exception {
		registerBoth(path);
		this.first.set(PAUSE);
		assertThat(this.fixture.call("POST", path)).startsWith("HTTP/1.1 200");
		assertThat(this.firstServer.requests()).hasSize(1);
		advance(GRACE_MS);
		assertThat(arrivalsDuring(PAUSE_MS - GRACE_MS - STEP_MS, path)).isAtMost(MAX_ARRIVALS_IN_PAUSE);
		this.first.set(SERVE);
		advance(2 * STEP_MS);
		assertThat(arrivalsDuring(1_000, path)).isAtLeast(10);
	}

	@ParameterizedTest
	@ValueSource(strings = { "/safe/1", "/stream/1" })
	void firstRequestAfterAPauseIsOne(String path) throws Exception {
		registerBoth(path);
		this.first.set(PAUSE);
		this.fixture.call("POST", path);
		CountDownLatch arrived = new CountDownLatch(1);
		CountDownLatch answer = new CountDownLatch(1);
		this.first.set((head, socket, out) -> {
			arrived.countDown();
			answer.await();
			SERVE.handle(head, socket, out);
		});
		advance(PAUSE_MS);
		List<CompletableFuture<Void>> calls = new ArrayList<>();
		calls.add(CompletableFuture.runAsync(() -> this.fixture.callQuietly("POST", path)));
		assertThat(arrived.await(5, TimeUnit.SECONDS)).isTrue();
		for (int i = 0; i < 5; i++) {
			assertThat(this.fixture.call("POST", path)).startsWith("HTTP/1.1 200");
		}
		assertThat(this.firstServer.requests()).hasSize(2);
		answer.countDown();
		calls.getFirst().get(5, TimeUnit.SECONDS);
	}

	@ParameterizedTest
	@ValueSource(strings = { "/safe/1", "/unsafe/1", "/stream/1" })
	void callerIsRefusedAtOnceUntilTheFirstPauseEnds(String path) throws Exception {
		registerBoth(path);
		this.first.set(PAUSE);
		this.second.set(PAUSE);
		this.fixture.call("POST", path);
		advance(GRACE_MS);
		int before = this.firstServer.requests().size() + this.secondServer.requests().size();
		String response = this.fixture.call("POST", path);
		assertThat(response).startsWith("HTTP/1.1 503");
		assertThat(this.firstServer.requests().size() + this.secondServer.requests().size()).isEqualTo(before);
		Matcher retryAfter = RETRY_AFTER.matcher(response);
		assertThat(retryAfter.find()).isTrue();
		assertThat(Double.parseDouble(retryAfter.group(1))).isAtLeast((PAUSE_MS - GRACE_MS) / 1_000.0);
	}

	/** With the store away, nothing but the response tells that the server leaves. */
	@ParameterizedTest
	@CsvSource({ "/safe/1, false", "/unsafe/1, true", "/stream/1, false", "/once/1, true" })
	void leavingServerReceivesNothingMore(String path, boolean reportedSound) throws Exception {
		registerBoth(path);
		this.first.set(LEAVE);
		assertThat(this.fixture.call("POST", path)).startsWith("HTTP/1.1 200");
		if (reportedSound) {
			this.fixture.registerAgain();
		}
		for (int i = 0; i < 5; i++) {
			assertThat(this.fixture.call("POST", path)).startsWith("HTTP/1.1 200");
			advance(1_000);
		}
		assertThat(this.firstServer.requests()).hasSize(1);
		this.first.set(SERVE);
		this.fixture.restart("s1");
		assertThat(this.fixture.call("POST", path)).startsWith("HTTP/1.1 200");
		assertThat(this.firstServer.requests()).hasSize(2);
	}

	@ParameterizedTest
	@ValueSource(strings = { "leaving: 1", "pause: 2" })
	void streamInProgressGoesOnWhileNewOnesGoElsewhere(String notice) throws Exception {
		registerBoth("/stream/1");
		CountDownLatch end = new CountDownLatch(1);
		this.first.set((head, socket, out) -> {
			FakeBackend.write(out, "HTTP/1.1 200 x\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
					+ GOOD + "\r\n" + FakeBackend.chunk("id: 1\ndata: x\n\n"));
			end.await();
			FakeBackend.write(out, FakeBackend.chunk("id: 2\ndata: x\n\n") + "0\r\n\r\n");
		});
		try (Socket stream = this.fixture.send("POST", "/stream/1", "connection: close\r\nkey: k1\r\n")) {
			while (this.firstServer.requests().isEmpty()) {
				TimeUnit.MILLISECONDS.sleep(5);
			}
			this.first.set(FakeBackend.response(503, "id: r1\r\nnot-run: 1\r\n" + notice + "\r\n", ""));
			for (int i = 0; i < 5; i++) {
				assertThat(this.fixture.call("POST", "/stream/1")).startsWith("HTTP/1.1 200");
			}
			assertThat(this.firstServer.requests()).hasSize(2);
			end.countDown();
			assertThat(GatewayFixture.readAll(stream.getInputStream())).contains("id: 2");
		}
	}

	@ParameterizedTest
	@CsvSource({ "421, ''", "503, faulty: 127.0.0.1:1" })
	void noticeOfAnotherServerIsNotTakenForTheAddressedOne(int status, String header) throws Exception {
		registerBoth("/safe/1");
		String headers = "id: r1\r\nnot-run: 1\r\nleaving: 1\r\n" + ((header.isEmpty()) ? "" : header + "\r\n");
		if (!header.isEmpty()) {
			this.fixture.register("pool", "other", "127.0.0.1:1");
		}
		this.first.set(FakeBackend.response(status, headers, ""));
		this.fixture.call("POST", "/safe/1");
		this.first.set(SERVE);
		assertThat(this.fixture.call("POST", "/safe/1")).startsWith("HTTP/1.1 200");
		assertThat(this.firstServer.requests()).hasSize(2);
	}

}
