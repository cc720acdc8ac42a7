package org.medlardrum.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.medlardrum.state.routing.RequestLimits;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a connection that is closed as idle earlier than the configuration in
 * force allows, or while its request is in progress.
 */
class IdleConnectionTests {

	private static final long SHORT_MS = 300;

	private static final long LONG_MS = 60_000;

	/** Time after which a connection with the short timeout is closed. */
	private static final int CLOSED_WITHIN_MS = 5_000;

	/** Silence of the server, many times the short timeout. */
	private static final long SILENCE_MS = 2_600;

	private GatewayFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture().configured();
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private void setIdleTimeout(long version, long idleTimeoutMs) {
		RequestLimits limits = RequestLimits.DEFAULT;
		this.fixture.gateway()
			.configure(GatewayFixture.table(version, new RequestLimits(limits.headerBytes(), limits.bodyBytes(),
					limits.headerTimeoutMs(), idleTimeoutMs)));
		this.fixture.confirm();
	}

	private static boolean isClosed(Socket socket) throws IOException {
		try {
			return socket.getInputStream().read() < 0;
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
	}

	@ParameterizedTest
	@CsvSource({ "300, true", "60000, false" })
	void openConnectionFollowsTheTimeoutInForce(long idleTimeoutMs, boolean closed) throws Exception {
		setIdleTimeout(2, SHORT_MS + LONG_MS - idleTimeoutMs);
		try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), this.fixture.gateway().callerPort())) {
			setIdleTimeout(3, idleTimeoutMs);
			socket.setSoTimeout(CLOSED_WITHIN_MS);
			assertThat(isClosed(socket)).isEqualTo(closed);
		}
	}

	@Test
	void connectionOfARequestInProgressIsNotClosed() throws Exception {
		setIdleTimeout(2, SHORT_MS);
		try (FakeBackend slow = new FakeBackend((head, socket, out) -> {
			TimeUnit.MILLISECONDS.sleep(SILENCE_MS);
			FakeBackend.response(200, "id: r1\r\nproof: p1\r\n", "done").handle(head, socket, out);
		})) {
			this.fixture.register("ledger", "s1", slow);
			assertThat(this.fixture.call("POST", "/unsafe/1")).endsWith("done");
		}
	}

	/**
	 * Guards against descriptors held by callers that have left, up to the limit of
	 * connections.
	 */
	@Test
	void connectionOfACallerThatHasLeftIsClosed() throws Exception {
		setIdleTimeout(2, LONG_MS);
		try (FakeBackend silent = new FakeBackend((head, socket, out) -> TimeUnit.SECONDS.sleep(CLOSED_WITHIN_MS))) {
			this.fixture.register("ledger", "s1", silent);
			try (Socket socket = this.fixture.send("GET", "/safe/1", "key: k1\r\n")) {
				TimeUnit.MILLISECONDS.sleep(SHORT_MS);
				socket.shutdownOutput();
				socket.setSoTimeout(2 * CLOSED_WITHIN_MS);
				assertThat(isClosed(socket)).isTrue();
			}
		}
	}

}
