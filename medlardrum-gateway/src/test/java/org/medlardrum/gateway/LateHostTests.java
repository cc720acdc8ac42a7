package org.medlardrum.gateway;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a busy host that takes its own delay for silence of a server: the bytes
 * of the server have arrived, but the event loop has not read them yet.
 */
class LateHostTests {

	private static final String STREAM_HEAD = "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n"
			+ "content-type: text/event-stream\r\nid: r1\r\nproof: p1\r\n\r\n";

	private static final long TIMEOUT_S = 10;

	/** Real delay of the event loop, beyond the delays of all its timers. */
	private static final long DELAY_MS = 700;

	/** Gap between events that counts as a stall, but does not cause a probe yet. */
	private static final long STALL_MS = 200;

	/** Longer than a probe may last. */
	private static final long PROBE_MS = 300;

	/** Step of the clock, below the lateness that shows a busy host. */
	private static final long STEP_MS = 5;

	private final CountDownLatch loopBlocked = new CountDownLatch(1);

	private final CountDownLatch serverHasWritten = new CountDownLatch(1);

	private GatewayFixture fixture;

	private volatile long clockDelayMs;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture().configured();
		this.fixture.pauseClock();
		this.fixture.confirm();
		this.fixture.responseHook.set(this::delayEventLoop);
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private void delayEventLoop() {
		this.loopBlocked.countDown();
		await(this.serverHasWritten);
		this.fixture.clockOffsetMs.addAndGet(this.clockDelayMs);
		try {
			// Timers run on real time; all of them are due after this.
			Thread.sleep(DELAY_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void await(CountDownLatch latch) {
		try {
			assertThat(latch.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String event(int id) {
		return FakeBackend.chunk("id: " + id + "\ndata: e" + id + "\n\n");
	}

	// Sends a request and returns once the gateway has passed on the first event.
	private Socket beginStream(String path) throws Exception {
		Socket caller = this.fixture.send("POST", path, "connection: close\r\nkey: k1\r\n");
		StringBuilder begin = new StringBuilder();
		while (begin.indexOf("data: e1\n") < 0) {
			begin.append((char) caller.getInputStream().read());
		}
		return caller;
	}

	private FakeBackend plainServer() throws Exception {
		return new FakeBackend(FakeBackend.response(200, "id: r1\r\nproof: p0\r\nhook: 1\r\n", "x"));
	}

	@Test
	void streamWhoseEventsAreUnreadStaysAtItsServer() throws Exception {
		try (FakeBackend plain = plainServer(); FakeBackend engine = new FakeBackend((head, socket, out) -> {
			FakeBackend.write(out, STREAM_HEAD + event(1));
			await(this.loopBlocked);
			FakeBackend.write(out, event(2) + "0\r\n\r\n");
			this.serverHasWritten.countDown();
		}); FakeBackend other = new FakeBackend((head, socket, out) -> await(this.serverHasWritten))) {
			this.fixture.register("ledger", "s1", plain);
			this.fixture.register("pool", "e1", engine);
			this.clockDelayMs = STALL_MS;
			try (Socket caller = beginStream("/stream/1")) {
				this.fixture.register("pool", "e2", other);
				this.fixture.callQuietly("GET", "/safe/1");
				assertThat(GatewayFixture.readAll(caller.getInputStream())).contains("data: e2");
			}
			assertThat(other.requests()).isEmpty();
		}
	}

	@Test
	void probeWhoseAnswerIsUnreadSuspectsNoServer() throws Exception {
		CountDownLatch probed = new CountDownLatch(1);
		CountDownLatch end = new CountDownLatch(1);
		try (FakeBackend plain = plainServer(); FakeBackend engine = new FakeBackend((head, socket, out) -> {
			if (head.startsWith("get /report")) {
				probed.countDown();
				await(this.loopBlocked);
				FakeBackend.response(200, "", "").handle(head, socket, out);
				this.serverHasWritten.countDown();
				end.countDown();
				return;
			}
			FakeBackend.write(out, STREAM_HEAD + event(1));
			await(end);
			Thread.sleep(2 * DELAY_MS);
			FakeBackend.write(out, event(2) + "0\r\n\r\n");
		})) {
			this.fixture.register("ledger", "s1", plain);
			this.fixture.register("pool", "e1", engine);
			this.clockDelayMs = PROBE_MS;
			try (Socket caller = beginStream("/once/1")) {
				while (!probed.await(2 * STEP_MS, TimeUnit.MILLISECONDS)) {
					this.fixture.clockOffsetMs.addAndGet(STEP_MS);
				}
				this.fixture.callQuietly("GET", "/safe/1");
				assertThat(GatewayFixture.readAll(caller.getInputStream())).contains("data: e2");
			}
		}
	}

	/**
	 * The caller's request and the end of its connection arrive while the host is busy.
	 */
	@Test
	void requestWhoseCallerHasLeftInTheMeantimeIsNotSent() throws Exception {
		CountDownLatch end = new CountDownLatch(1);
		try (FakeBackend plain = plainServer(); FakeBackend engine = new FakeBackend((head, socket, out) -> {
			FakeBackend.write(out, STREAM_HEAD + event(1));
			await(end);
		})) {
			this.fixture.register("ledger", "s1", plain);
			this.fixture.register("pool", "e1", engine);
			this.clockDelayMs = STALL_MS;
			try (Socket stream = beginStream("/once/1")) {
				Thread.ofVirtual().start(() -> this.fixture.callQuietly("GET", "/safe/1"));
				await(this.loopBlocked);
				this.fixture.send("GET", "/safe/2", "key: k1\r\n").close();
				this.serverHasWritten.countDown();
				for (int i = 0; i < 3; i++) {
					assertThat(this.fixture.call("GET", "/none")).startsWith("HTTP/1.1 404");
				}
				assertThat(plain.requests()).hasSize(1);
			}
		}
		finally {
			end.countDown();
		}
	}

	/**
	 * In one turn of a late event loop, the connection to the server is ready and the
	 * caller's close is in the socket. The gateway reads the wall clock for the third
	 * time when it logs that it sends the request, right after it has begun to connect.
	 */
	@Test
	void requestIsNotWrittenBeforeTheCallersCloseIsRead() throws Exception {
		CountDownLatch callerHasLeft = new CountDownLatch(1);
		AtomicInteger reads = new AtomicInteger();
		try (FakeBackend plain = new FakeBackend(FakeBackend.response(200, "id: r1\r\nproof: p0\r\n", "x"))) {
			this.fixture.register("ledger", "s1", plain);
			this.fixture.wallClockHook.set(() -> {
				if (reads.incrementAndGet() == 3) {
					this.loopBlocked.countDown();
					await(callerHasLeft);
					this.fixture.clockOffsetMs.addAndGet(STALL_MS);
				}
			});
			Socket caller = this.fixture.send("GET", "/safe/1", "key: k1\r\n");
			await(this.loopBlocked);
			caller.close();
			callerHasLeft.countDown();
			for (int i = 0; i < 3; i++) {
				assertThat(this.fixture.call("GET", "/none")).startsWith("HTTP/1.1 404");
			}
			assertThat(plain.requests()).isEmpty();
		}
	}

}
