package org.medlardrum.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.state.routing.KeyHolder;
import org.medlardrum.state.routing.ModelPool;
import org.medlardrum.state.routing.RequestLimits;
import org.medlardrum.state.routing.RoutedService;
import org.medlardrum.state.routing.RoutingTable;
import org.medlardrum.state.routing.ServiceRoute;
import org.medlardrum.state.routing.ServiceShare;
import org.medlardrum.state.routing.TrafficKind;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against refusals while capacity is about to become free, against requests that
 * wait although they are lost, and against requests that start after their wait has
 * ended: by their last start, a stop, a configuration or their caller. The only server
 * has one slot, the test decides when it answers, and the clock advances only when the
 * test says so.
 */
class WaitingRequestTests {

	private static final long TIMEOUT_MS = 3_000;

	private static final long TARGET_MS = 500;

	/** Several times the interval between two rounds. */
	private static final long ROUNDS_MS = 200;

	private static final String GOOD = "id: r1\r\nproof: p\r\n";

	private final Semaphore answers = new Semaphore(0);

	private final AtomicInteger concurrent = new AtomicInteger();

	private final AtomicInteger mostConcurrent = new AtomicInteger();

	private GatewayFixture fixture;

	private FakeBackend server;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.server = new FakeBackend((head, socket, out) -> {
			if (head.startsWith("get /report")) {
				return;
			}
			this.mostConcurrent.accumulateAndGet(this.concurrent.incrementAndGet(), Math::max);
			this.answers.acquire();
			this.concurrent.decrementAndGet();
			FakeBackend.response(200, GOOD, "id: 1\n\n").handle(head, socket, out);
		});
		configure(1, true, "k1");
		this.fixture.confirm();
		this.fixture.pauseClock();
		this.fixture.register("pool", "e1", this.server.address(), 1);
		this.fixture.register("ledger", "s1", this.server.address(), 1);
	}

	@AfterEach
	void stop() throws Exception {
		this.answers.release(1_000);
		this.fixture.close();
		this.server.close();
	}

	private void configure(long version, boolean scarceLinks, String key, String... removedRoutes) {
		List<ServiceRoute> routes = new ArrayList<>(List.of(route("stream", TrafficKind.STREAMING, "pool", 0),
				route("background", TrafficKind.STREAMING, "pool", 2), route("safe", TrafficKind.SAFE, "ledger", 0),
				route("unsafe", TrafficKind.UNSAFE, "ledger", 0), route("batch", TrafficKind.UNSAFE, "ledger", 2)));
		routes.removeIf((route) -> List.of(removedRoutes).contains(route.name()));
		ModelPool pool = (scarceLinks) ? GatewayFixture.SCARCE_LINKS_POOL : GatewayFixture.POOL;
		this.fixture.gateway()
			.configure(new RoutingTable(version, routes,
					List.of(new RoutedService("ledger", 100, Optional.empty()),
							new RoutedService("pool", 100, Optional.of(pool))),
					true, Map.of(key, new KeyHolder("org-1", -1)), RequestLimits.DEFAULT));
	}

	private static ServiceRoute route(String name, TrafficKind kind, String service, int rank) {
		return new ServiceRoute(name, "test", "/" + name + "/", kind, List.of(new ServiceShare(service, 1)), TIMEOUT_MS,
				TARGET_MS, 200, rank, 2, false, kind == TrafficKind.STREAMING);
	}

	private void advance(long ms) {
		this.fixture.clockOffsetMs.addAndGet(ms);
	}

	/** Sends a request and returns once the gateway has read it. */
	private CompletableFuture<String> send(String path) {
		return sendWith(path, "key: k1\r\n");
	}

	private CompletableFuture<String> sendWith(String path, String headers) {
		long before = this.fixture.gateway().receivedRequests();
		CompletableFuture<String> response = new CompletableFuture<>();
		Thread.ofVirtual().start(() -> {
			try {
				response.complete(this.fixture.callWith("POST", path, headers));
			}
			catch (IOException ex) {
				response.completeExceptionally(ex);
			}
		});
		await(() -> this.fixture.gateway().receivedRequests() > before);
		return response;
	}

	/** Sends a request that takes the only slot. */
	private CompletableFuture<String> occupy(String path) {
		CompletableFuture<String> response = send(path);
		await(() -> this.server.requests().size() == 1);
		return response;
	}

	private CompletableFuture<String> sendWaiting(String path) {
		int before = this.fixture.gateway().waiting();
		CompletableFuture<String> response = send(path);
		await(() -> this.fixture.gateway().waiting() == before + 1);
		return response;
	}

	private static void await(BooleanSupplier condition) {
		long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
		while (!condition.getAsBoolean() && System.nanoTime() < endNs) {
			sleep(2);
		}
		assertThat(condition.getAsBoolean()).isTrue();
	}

	private static void sleep(long ms) {
		try {
			TimeUnit.MILLISECONDS.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** The response names the status, and the server never gets the request. */
	private void assertNotStarted(String response, int status) {
		assertThat(response).startsWith("HTTP/1.1 " + status);
		this.answers.release(1_000);
		await(() -> this.fixture.gateway().inProgress() == 0);
		assertThat(this.server.requests()).hasSize(1);
	}

	/** Before, the second request was refused although the first one was about to end. */
	@ParameterizedTest
	@ValueSource(strings = { "/stream/", "/safe/", "/unsafe/" })
	void requestStartsWhenAnotherOneEnds(String path) throws Exception {
		CompletableFuture<String> first = occupy(path + 1);
		CompletableFuture<String> second = sendWaiting(path + 2);
		this.answers.release(2);
		assertThat(first.get()).startsWith("HTTP/1.1 200");
		assertThat(second.get()).startsWith("HTTP/1.1 200");
		assertThat(this.server.requests()).hasSize(2);
		assertThat(this.mostConcurrent.get()).isEqualTo(1);
	}

	/**
	 * A stream waits for 0.7 of its target, but not for more than an eighth of its time:
	 * the rest is needed by the server.
	 */
	@ParameterizedTest
	@CsvSource({ "/stream/, 3000, 350", "/stream/, 400, 50" })
	void streamThatCannotStartInTimeIsRefused(String path, long timeMs, long longestWaitMs) throws Exception {
		occupy(path + 1);
		CompletableFuture<String> waiting = sendWith(path + 2, "key: k1\r\ndeadline: " + timeMs + "\r\n");
		await(() -> this.fixture.gateway().waiting() == 1);
		advance(longestWaitMs);
		sleep(ROUNDS_MS);
		assertThat(waiting.isDone()).isFalse();
		advance(1);
		assertThat(waiting.get()).contains("\"ran\":\"no\"");
		assertNotStarted(waiting.get(), 503);
	}

	/**
	 * A plain request waits for a slot for half of its target, but not for more than an
	 * eighth of its time. Refusing it then would cost its caller more than a place in the
	 * queue of a server, which still gives a late response.
	 */
	@ParameterizedTest
	@CsvSource({ "/safe/, 3000, 250", "/unsafe/, 3000, 250", "/unsafe/, 400, 50" })
	void plainRequestThatFindsNoSlotInTimeIsQueuedAtTheServer(String path, long timeMs, long longestWaitMs)
			throws Exception {
		occupy(path + 1);
		CompletableFuture<String> waiting = sendWith(path + 2, "key: k1\r\ndeadline: " + timeMs + "\r\n");
		await(() -> this.fixture.gateway().waiting() == 1);
		advance(longestWaitMs);
		sleep(ROUNDS_MS);
		assertThat(this.server.requests()).hasSize(1);
		advance(1);
		await(() -> this.server.requests().size() == 2);
		this.answers.release(2);
		assertThat(waiting.get()).startsWith("HTTP/1.1 200");
		assertThat(this.server.requests()).hasSize(2);
	}

	/** A less urgent request may not take the capacity because it arrived earlier. */
	@Test
	void moreUrgentRequestStartsFirst() throws Exception {
		occupy("/stream/1");
		CompletableFuture<String> background = sendWaiting("/background/2");
		CompletableFuture<String> urgent = sendWaiting("/stream/3");
		this.answers.release(1);
		await(() -> this.server.requests().size() == 2);
		assertThat(this.server.requests().getLast()).contains("/stream/3");
		this.answers.release(2);
		assertThat(urgent.get()).startsWith("HTTP/1.1 200");
		assertThat(background.get()).startsWith("HTTP/1.1 200");
	}

	/** Callers that leave may leave nothing behind for longer than 0.5 s. */
	@ParameterizedTest
	@CsvSource({ "/stream/, false", "/stream/, true", "/unsafe/, false" })
	void requestOfACallerThatLeavesIsRemoved(String path, boolean reset) throws Exception {
		occupy(path + 1);
		Socket caller = this.fixture.send("POST", path + 2, "key: k1\r\n");
		await(() -> this.fixture.gateway().waiting() == 1);
		if (reset) {
			caller.setSoLinger(true, 0);
		}
		caller.close();
		await(() -> this.fixture.gateway().waiting() == 0 && this.fixture.gateway().inProgress() == 1);
		this.answers.release(1);
		await(() -> this.fixture.gateway().inProgress() == 0);
		assertThat(this.server.requests()).hasSize(1);
	}

	/** A request that waits at a host that stops would be cut off, or started late. */
	@ParameterizedTest
	@ValueSource(strings = { "/stream/", "/unsafe/" })
	void stopRefusesWaitingRequests(String path) throws Exception {
		occupy(path + 1);
		CompletableFuture<String> waiting = sendWaiting(path + 2);
		Thread stopping = Thread.ofPlatform().start(() -> this.fixture.gateway().shutDown());
		String refused = waiting.get();
		assertThat(refused.toLowerCase(Locale.ROOT)).contains("retry-after: ");
		assertThat(refused).contains("The host stops");
		assertThat(send(path + 3).get()).startsWith("HTTP/1.1 503");
		assertNotStarted(refused, 503);
		// More than the time of the shutdown.
		advance(5_000);
		stopping.join();
	}

	/**
	 * The process is suspended until the last start of a stream, or the deadline of a
	 * plain request, has passed; the reservation that ends meanwhile must not start it.
	 */
	@ParameterizedTest
	@CsvSource({ "/stream/, 3000", "/unsafe/, 400" })
	void suspendedProcessDoesNotStartWhatIsTooLate(String path, long timeMs) throws Exception {
		CompletableFuture<String> first = occupy(path + 1);
		CompletableFuture<String> waiting = sendWith(path + 2, "key: k1\r\ndeadline: " + timeMs + "\r\n");
		await(() -> this.fixture.gateway().waiting() == 1);
		advance(1_000);
		this.answers.release(1);
		assertThat(first.get()).startsWith("HTTP/1.1 200");
		assertNotStarted(waiting.get(), 503);
	}

	/** A key that was revoked before a request starts must not be served. */
	@ParameterizedTest
	@CsvSource({ "/stream/, k1, stream, 404", "/stream/, k2, none, 401", "/unsafe/, k1, unsafe, 404",
			"/unsafe/, k2, none, 401" })
	void configurationWithoutTheRouteOrKeyEndsTheWait(String path, String key, String removedRoute, int status)
			throws Exception {
		occupy(path + 1);
		CompletableFuture<String> waiting = sendWaiting(path + 2);
		configure(2, true, key, removedRoute);
		assertNotStarted(waiting.get(), status);
	}

	/** A key might be revoked while the host cannot learn of it. */
	@Test
	void requestDoesNotStartWhenTheConfigurationIsNotFreshAnyMore() throws Exception {
		advance(GatewayFixture.KEY_FRESHNESS_MS - 50);
		occupy("/stream/1");
		CompletableFuture<String> waiting = sendWaiting("/stream/2");
		advance(100);
		String refused = waiting.get();
		assertThat(refused).contains("not be confirmed");
		assertNotStarted(refused, 503);
	}

	/** A configuration that still admits the request leaves it where it is. */
	@Test
	void otherConfigurationDoesNotEndTheWait() throws Exception {
		occupy("/stream/1");
		CompletableFuture<String> waiting = sendWaiting("/stream/2");
		configure(2, true, "k1", "background");
		sleep(ROUNDS_MS);
		assertThat(waiting.isDone()).isFalse();
		this.answers.release(2);
		assertThat(waiting.get()).startsWith("HTTP/1.1 200");
	}

	/** A request is known to be lost if no chain is complete. */
	@ParameterizedTest
	@ValueSource(strings = { "/stream/", "/unsafe/" })
	void requestWithoutAnyServerIsRefusedAtOnce(String path) throws Exception {
		this.fixture.replace("other", "o1", this.server);
		assertThat(send(path + 1).get()).startsWith("HTTP/1.1 503");
	}

	/** The other host has already let the request wait. */
	@Test
	void requestOfAnotherHostDoesNotWait() throws Exception {
		occupy("/stream/1");
		try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), this.fixture.gateway().relayPort())) {
			socket.setSoTimeout(5_000);
			FakeBackend.write(socket.getOutputStream(),
					"POST /stream/2 HTTP/1.1\r\nhost: test\r\nid: r2\r\nkey: k1\r\nconnection: close\r\n\r\n");
			assertThat(GatewayFixture.readAll(socket.getInputStream())).startsWith("HTTP/1.1 503");
		}
	}

	/** Deployments whose zones can help each other out are served as before. */
	@Test
	void nothingWaitsWithoutScarceLinks() throws Exception {
		configure(2, false, "k1");
		occupy("/stream/1");
		assertThat(send("/stream/2").get()).startsWith("HTTP/1.1 503");
		CompletableFuture<String> first = send("/unsafe/1");
		CompletableFuture<String> second = send("/unsafe/2");
		await(() -> this.server.requests().size() == 3);
		this.answers.release(3);
		assertThat(first.get()).startsWith("HTTP/1.1 200");
		assertThat(second.get()).startsWith("HTTP/1.1 200");
	}

	/** A request that a server has refused waits only if another server may take it. */
	@Test
	void refusedStreamWaitsForAnotherChain() throws Exception {
		try (FakeBackend refusing = new FakeBackend(FakeBackend.response(503, "id: r1\r\nnot-run: 1\r\n", ""))) {
			CompletableFuture<String> first = occupy("/stream/1");
			this.fixture.register("pool", "e2", refusing.address(), 1);
			CompletableFuture<String> second = sendWaiting("/stream/2");
			assertThat(refusing.requests()).hasSize(1);
			this.answers.release(2);
			assertThat(first.get()).startsWith("HTTP/1.1 200");
			assertThat(second.get()).startsWith("HTTP/1.1 200");
			assertThat(refusing.requests()).hasSize(1);
		}
	}

	/**
	 * A surge of the least urgent rank may not take all slots: of 10, rank 2 leaves at
	 * least 0.12 to more urgent ranks.
	 */
	@Test
	void leastUrgentRankLeavesSlotsToMoreUrgentOnes() throws Exception {
		this.fixture.replace("ledger", "s2", this.server.address(), 10);
		List<CompletableFuture<String>> responses = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			responses.add(send("/batch/" + i));
		}
		await(() -> this.server.requests().size() == 8);
		responses.add(sendWaiting("/batch/8"));
		responses.add(send("/unsafe/9"));
		await(() -> this.server.requests().size() == 9);
		assertThat(this.server.requests().getLast()).contains("/unsafe/9");
		this.answers.release(10);
		for (CompletableFuture<String> response : responses) {
			assertThat(response.get()).startsWith("HTTP/1.1 200");
		}
	}

	/** A burst may neither overfill the server nor lose a request. */
	@ParameterizedTest
	@ValueSource(strings = { "/stream/", "/safe/" })
	void burstIsServedOneByOne(String path) throws Exception {
		List<CompletableFuture<String>> responses = new ArrayList<>();
		for (int i = 0; i < 20; i++) {
			responses.add(send(path + i));
		}
		await(() -> this.fixture.gateway().waiting() == 19);
		this.answers.release(20);
		for (CompletableFuture<String> response : responses) {
			assertThat(response.get()).startsWith("HTTP/1.1 200");
		}
		assertThat(this.server.requests()).hasSize(20);
		assertThat(this.mostConcurrent.get()).isEqualTo(1);
		await(() -> this.fixture.gateway().inProgress() == 0);
	}

}
