package org.medlardrum.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.StoreVersion;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against reporting a write whose result is unknown as not applied, and the
 * reverse.
 */
class HttpPlatformStoreTests {

	private static final String ENTRY = "{\"key\":\"a\",\"value\":\"v\",\"revision\":7}";

	@ParameterizedTest
	@CsvSource({ "200, Ok", "404, NotFound", "409, Conflict", "429, Unavailable", "503, Unavailable", "500, Unknown" })
	void classifiesTheStatusOfAWrite(int status, String expected) throws IOException {
		try (ScriptedServer server = new ScriptedServer((n) -> ScriptedServer.response(status, "", ENTRY));
				HttpPlatformStore store = new HttpPlatformStore(server.address(), 5000)) {
			StoreResult<StoreEntry> result = store.compareAndSet("a", new StoreVersion(0, 6), "v", null);
			assertThat(result.getClass().getSimpleName()).isEqualTo(expected);
			assertThat(server.requests()).isEqualTo(1);
		}
	}

	@Test
	void conflictCarriesTheCurrentEntry() throws IOException {
		try (ScriptedServer server = new ScriptedServer((n) -> ScriptedServer.response(409, "", ENTRY));
				HttpPlatformStore store = new HttpPlatformStore(server.address(), 5000)) {
			assertThat(store.compareAndSet("a", new StoreVersion(0, 6), "v", null))
				.isEqualTo(new StoreResult.Conflict<>(new StoreEntry("a", "v", new StoreVersion(0, 7))));
		}
	}

	@ParameterizedTest
	@CsvSource({ "true, Unknown", "false, Unavailable" })
	void brokenResponseLeavesOnlyAWriteUnknown(boolean write, String expected) throws IOException {
		try (ScriptedServer server = new ScriptedServer((n) -> "");
				HttpPlatformStore store = new HttpPlatformStore(server.address(), 5000)) {
			StoreResult<StoreEntry> result = (write) ? store.compareAndSet("a", StoreVersion.ABSENT, "v", null)
					: store.get("a");
			assertThat(result.getClass().getSimpleName()).isEqualTo(expected);
			assertThat(server.requests()).isEqualTo(1);
		}
	}

	@Test
	void lateResponseLeavesAWriteUnknown() throws IOException {
		try (ScriptedServer server = new ScriptedServer((n) -> "HTTP/1.1 200 X\r\nX-Hold: 1\r\n");
				HttpPlatformStore store = new HttpPlatformStore(server.address(), 200)) {
			assertThat(store.compareAndSet("a", StoreVersion.ABSENT, "v", null))
				.isInstanceOf(StoreResult.Unknown.class);
		}
	}

	@Test
	void refusedConnectionIsUnavailable() throws IOException {
		int freePort;
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			freePort = socket.getLocalPort();
		}
		try (HttpPlatformStore store = new HttpPlatformStore("127.0.0.1:" + freePort, 5000)) {
			for (int i = 0; i < 10; i++) {
				assertThat(store.compareAndSet("a", StoreVersion.ABSENT, "v", null))
					.isInstanceOf(StoreResult.Unavailable.class);
			}
		}
	}

}
