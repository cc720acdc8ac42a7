package org.medlardrum.gateway.internal.call;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.transport.internal.HttpClientPool;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests that are written although their deadline passed, or their
 * caller left, while the connection was being set up, and against an address that ends
 * the step of the sender.
 */
class BackendCallTests {

	private static final int CONNECT_TIMEOUT_MS = 400;

	private static final int SOCKET_TIMEOUT_MS = 5_000;

	@Test
	void withheldRequestLeavesNoByteAndClosesItsConnection() throws Exception {
		BlockingQueue<Signal> signals = new ArrayBlockingQueue<>(8);
		try (HttpClientPool clients = new HttpClientPool(CONNECT_TIMEOUT_MS);
				ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			server.setSoTimeout(SOCKET_TIMEOUT_MS);
			BackendCall call = BackendCall.send(clients, new BackendRequest("127.0.0.1:" + server.getLocalPort(),
					"POST", "/x", () -> false, Optional::empty, new byte[] { 1 }), signals::add);
			try (Socket connection = server.accept()) {
				connection.setSoTimeout(SOCKET_TIMEOUT_MS);
				assertThat(connection.getInputStream().read()).isEqualTo(-1);
			}
			assertThat(signals.poll(SOCKET_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isEqualTo(new Signal.Withheld(call));
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "127.0.0.1:99999", "127.0.0.1:0", "", "127.0.0.1", "localhost:80", "0.0.0.0:80" })
	void unusableAddressFailsTheCallAsNotSent(String address) throws Exception {
		BlockingQueue<Signal> signals = new ArrayBlockingQueue<>(8);
		AtomicInteger closed = new AtomicInteger();
		try (HttpClientPool clients = new HttpClientPool(CONNECT_TIMEOUT_MS)) {
			BackendCall call = BackendCall.send(clients,
					new BackendRequest(address, "GET", "/", () -> false, Optional::empty, new byte[0]), signals::add,
					closed::incrementAndGet);
			assertThat(call.address()).isEqualTo(address);
			Signal signal = signals.poll(SOCKET_TIMEOUT_MS, TimeUnit.MILLISECONDS);
			assertThat(signal).isInstanceOf(Signal.Failed.class);
			assertThat(((Signal.Failed) signal).call()).isSameInstanceAs(call);
			assertThat(((Signal.Failed) signal).requestNotSent()).isTrue();
			call.close();
			call.close();
			assertThat(closed.get()).isEqualTo(1);
		}
	}

	@Test
	void headersReplaceThoseOfTheLibrary() throws Exception {
		try (HttpClientPool clients = new HttpClientPool(CONNECT_TIMEOUT_MS);
				ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			server.setSoTimeout(SOCKET_TIMEOUT_MS);
			BackendCall.send(clients,
					new BackendRequest("127.0.0.1:" + server.getLocalPort(), "GET", "/x", () -> false,
							() -> Optional.of(List.of("host", "a.example", "part", "1", "part", "2")), new byte[0]),
					(signal) -> {
					});
			try (Socket connection = server.accept()) {
				connection.setSoTimeout(SOCKET_TIMEOUT_MS);
				StringBuilder head = new StringBuilder();
				while (head.indexOf("\r\n\r\n") < 0) {
					head.append((char) connection.getInputStream().read());
				}
				List<String> lines = List.of(head.toString().toLowerCase().split("\r\n"));
				assertThat(lines).containsAtLeast("host: a.example", "part: 1", "part: 2", "connection: close");
				assertThat(lines.stream().filter((line) -> line.startsWith("host:")).toList()).hasSize(1);
			}
		}
	}

}
