package org.medlardrum.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.StoreVersion;
import org.medlardrum.state.BackendServer;
import org.medlardrum.state.BackendServerKind;
import org.medlardrum.state.Host;
import org.medlardrum.state.HostDirectory;
import org.medlardrum.state.HostState;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against reporting a write whose result is unknown as not applied, and the
 * reverse, and against one odd entry of the host list that makes the others unusable.
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

	/**
	 * Guards against a call on a connection that went silent together with the one of a
	 * call that has timed out. Two calls at the same time open two connections.
	 */
	@Test
	void connectionsThatWereOpenDuringATimeoutAreNotUsedAgain() throws Exception {
		CountDownLatch both = new CountDownLatch(2);
		try (ScriptedServer server = new ScriptedServer((n) -> {
			both.countDown();
			awaitQuietly(both);
			return (n == 2) ? "HTTP/1.1 200 X\r\nX-Hold: 1\r\n" : ScriptedServer.response(200, "", ENTRY);
		}); HttpPlatformStore store = new HttpPlatformStore(server.address(), 1000)) {
			CompletableFuture<StoreResult<StoreEntry>> other = CompletableFuture.supplyAsync(() -> store.get("a"));
			store.get("a");
			other.get();
			assertThat(store.get("a")).isInstanceOf(StoreResult.Unavailable.class);
			store.get("a");
			assertThat(server.connections()).isAtLeast(3);
		}
	}

	private static void awaitQuietly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
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

	private static StoreResult<HostDirectory> hosts(String body) throws IOException {
		try (ScriptedServer server = new ScriptedServer((n) -> ScriptedServer.response(200, "", body));
				HttpPlatformStore store = new HttpPlatformStore(server.address(), 5000)) {
			return store.hosts(0, 0);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "null", "7", "[]", "{}", "SERVER,\"address\":\"127.0.0.1:99999\"}",
			"SERVER,\"address\":\"\"}", "SERVER,\"address\":\"host:80\"}", "SERVER,\"address\":null}",
			"SERVER,\"address\":{}}", "SERVER,\"state\":\"odd\"}", "SERVER,\"state\":7}", "SERVER,\"kind\":\"odd\"}",
			"SERVER,\"pool\":[]}", "SERVER,\"id\":null}", "SERVER,\"id\":NESTED}",
			"SERVER,\"availabilityZone\":null}" })
	void oddServerOfTheHostListDoesNotAffectOthers(String odd) throws IOException {
		String server = "{\"id\":\"s\",\"availabilityZone\":\"a\",\"address\":\"127.0.0.1:80\",\"pool\":\"p\","
				+ "\"kind\":\"service\",\"accelerator\":\"\",\"state\":\"live\"";
		String element = odd.replace("SERVER", server).replace("NESTED", "[".repeat(200) + "]".repeat(200));
		StoreResult<HostDirectory> result = hosts(
				"{\"revision\":3,\"entryHosts\":[],\"backendServers\":[" + element + "," + server + "}]}");
		assertThat(result).isEqualTo(new StoreResult.Ok<>(new HostDirectory(3, List.of(), List
			.of(new BackendServer("s", "a", "127.0.0.1:80", "p", BackendServerKind.SERVICE, "", HostState.LIVE)))));
	}

	@ParameterizedTest
	@ValueSource(strings = { "null", "7", "{}", "HOST,\"peerAddress\":\"127.0.0.1:99999\"}", "HOST,\"state\":\"odd\"}",
			"HOST,\"id\":null}", "HOST,\"peerAddress\":7}" })
	void oddHostOfTheHostListDoesNotAffectOthers(String odd) throws IOException {
		String host = "{\"id\":\"h\",\"availabilityZone\":\"a\",\"callerAddress\":\"127.0.0.1:1\","
				+ "\"peerAddress\":\"127.0.0.1:2\",\"adminAddress\":\"127.0.0.1:3\",\"state\":\"live\"";
		StoreResult<HostDirectory> result = hosts(
				"{\"revision\":9007199254740993,\"entryHosts\":[" + odd.replace("HOST", host) + "," + host + "}]}");
		assertThat(result).isEqualTo(new StoreResult.Ok<>(new HostDirectory(9_007_199_254_740_993L,
				List.of(new Host("h", "a", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", HostState.LIVE)), List.of())));
	}

	@ParameterizedTest
	@ValueSource(strings = { "null", "7", "[]", "{\"revision\":1e400}", "{\"revision\":1.5}", "{\"revision\":\"x\"}",
			"{\"revision\":3,\"backendServers\":{}}", "{\"revision\":3,\"entryHosts\":7}" })
	void hostListThatCannotBeDecodedIsUnavailable(String body) throws IOException {
		assertThat(hosts(body)).isInstanceOf(StoreResult.Unavailable.class);
	}

}
