package org.medlardrum.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.KeyHolder;
import org.medlardrum.state.routing.RoutingTable;
import org.medlardrum.state.routing.ServiceInstance;
import org.medlardrum.state.routing.ServiceRoute;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against streams that are broken off because a server is silent: a sound server
 * may send nothing for a second or more and go on, and its stream is the best one there
 * is until another chain sends events.
 */
class SilentServerTests {

	private static final String HEAD = "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n"
			+ "content-type: text/event-stream\r\nid: r1\r\nproof: ";

	private static final int LAST_EVENT = 5;

	private final CountDownLatch end = new CountDownLatch(1);

	private final List<FakeBackend> engines = new ArrayList<>();

	private GatewayFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture().configured();
	}

	@AfterEach
	void stop() throws IOException {
		this.end.countDown();
		this.fixture.close();
		for (FakeBackend engine : this.engines) {
			engine.close();
		}
	}

	/** How a silent engine answers the question what its streams wait for. */
	enum Report {

		NAMES_ITSELF, NAMES_NOBODY, UNANSWERED, BROKEN

	}

	private FakeBackend engine(Report report, FakeBackend.Script script) throws IOException {
		FakeBackend engine = new FakeBackend((head, socket, out) -> {
			if (!head.startsWith("get /report")) {
				script.handle(head, socket, out);
				return;
			}
			switch (report) {
				case NAMES_ITSELF ->
					FakeBackend.response(200, "", "r1 127.0.0.1:" + socket.getLocalPort()).handle(head, socket, out);
				case NAMES_NOBODY -> FakeBackend.response(200, "", "").handle(head, socket, out);
				case UNANSWERED -> this.end.await(20, TimeUnit.SECONDS);
				case BROKEN -> socket.close();
			}
		});
		this.engines.add(engine);
		return engine;
	}

	private static void events(OutputStream out, int from, int to) throws IOException {
		for (int id = from; id <= to; id++) {
			FakeBackend.write(out, FakeBackend.chunk("id: " + id + "\ndata: e" + id + "\n\n"));
		}
	}

	// Sends some events, is silent and goes on.
	private static FakeBackend.Script silentAfter(int before, long silenceMs) {
		return (head, socket, out) -> {
			FakeBackend.write(out, HEAD + "p1\r\n\r\n");
			events(out, 1, before);
			TimeUnit.MILLISECONDS.sleep(silenceMs);
			events(out, before + 1, LAST_EVENT);
			FakeBackend.write(out, "0\r\n\r\n");
		};
	}

	private FakeBackend.Script silentForGoodAfter(int before) {
		return (head, socket, out) -> {
			FakeBackend.write(out, HEAD + "p1\r\n\r\n");
			events(out, 1, before);
			this.end.await(20, TimeUnit.SECONDS);
		};
	}

	private FakeBackend.Script mute() {
		return (head, socket, out) -> this.end.await(20, TimeUnit.SECONDS);
	}

	private static FakeBackend.Script completeFrom(int from, long silenceMs) {
		return (head, socket, out) -> {
			TimeUnit.MILLISECONDS.sleep(silenceMs);
			FakeBackend.write(out, HEAD + "p2\r\n\r\n");
			events(out, from, LAST_EVENT);
			FakeBackend.write(out, "0\r\n\r\n");
		};
	}

	private static FakeBackend.Script refusal() {
		return FakeBackend.response(503, "id: r1\r\nnot-run: 1\r\n", "");
	}

	private static void assertWhole(String response) {
		assertThat(response).startsWith("HTTP/1.1 200");
		for (int id = 1; id <= LAST_EVENT; id++) {
			assertThat(response.split("data: e" + id + "\n", -1)).hasLength(2);
		}
		assertThat(response).endsWith("0\r\n\r\n");
	}

	private void registerAfter(GatewayFixture host, FakeBackend first, String id, FakeBackend later) {
		afterRequestTo(first, () -> host.register("pool", id, later));
	}

	// Sleeps between its checks: threads that spin leave none for the engines.
	private void afterRequestTo(FakeBackend engine, Runnable action) {
		Thread.ofPlatform().daemon().start(() -> {
			while (engine.requests().isEmpty() && this.end.getCount() > 0) {
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
			}
			if (this.end.getCount() > 0) {
				action.run();
			}
		});
	}

	private static ServiceInstance instance(String id, String address, int slots) {
		return instance(id, address, slots, new LayerRange(0, 8));
	}

	private static ServiceInstance instance(String id, String address, int slots, LayerRange layers) {
		return new ServiceInstance(id, "pool", address, "a", slots, false, 1, "fast", Optional.of(layers));
	}

	private void allowServers(int maxAttempts) {
		RoutingTable table = GatewayFixture.table(2);
		ServiceRoute route = table.route("test", "/stream/").orElseThrow();
		ServiceRoute changed = new ServiceRoute(route.name(), route.host(), route.prefix(), route.kind(),
				route.shares(), route.timeoutMs(), route.targetLatencyMs(), route.gapTargetMs(), route.rank(),
				maxAttempts, route.open(), route.resumable());
		this.fixture.gateway()
			.configure(new RoutingTable(2, List.of(changed), table.services(), table.requiresKeys(),
					Map.of("k1", new KeyHolder("org-1", -1)), table.limits()));
		this.fixture.confirm();
	}

	@ParameterizedTest
	@CsvSource({ "500, NAMES_ITSELF", "900, NAMES_ITSELF", "1200, NAMES_ITSELF", "1600, NAMES_ITSELF",
			"2000, NAMES_ITSELF", "500, UNANSWERED", "900, UNANSWERED", "1200, UNANSWERED", "1600, UNANSWERED",
			"2000, UNANSWERED", "1200, BROKEN", "1200, NAMES_NOBODY" })
	void streamOfTheOnlyEngineOutlastsItsSilence(long silenceMs, Report report) throws Exception {
		this.fixture.register("pool", "e1", engine(report, silentAfter(2, silenceMs)));
		assertWhole(this.fixture.call("POST", "/stream/1"));
	}

	@ParameterizedTest
	@CsvSource({ "500, NAMES_ITSELF", "1200, NAMES_ITSELF", "2000, NAMES_ITSELF", "1200, UNANSWERED" })
	void streamOutlastsTheSilenceBeforeItsFirstEvent(long silenceMs, Report report) throws Exception {
		this.fixture.register("pool", "e1", engine(report, completeFrom(1, silenceMs)));
		assertWhole(this.fixture.call("POST", "/stream/1"));
	}

	@ParameterizedTest
	@CsvSource({ "1200, 2, NAMES_ITSELF", "1200, 0, NAMES_ITSELF", "1200, 2, UNANSWERED" })
	void streamThatMayNotBeResumedStaysAtItsSilentEngine(long silenceMs, int before, Report report) throws Exception {
		FakeBackend silent = engine(report, silentAfter(before, silenceMs));
		FakeBackend other = engine(Report.NAMES_NOBODY, completeFrom(1, 0));
		this.fixture.register("pool", "e1", silent);
		registerAfter(this.fixture, silent, "e2", other);
		assertWhole(this.fixture.call("POST", "/once/1"));
		assertThat(other.requests()).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(longs = { 500, 1_600 })
	void streamStaysAtItsSilentEngineWhenTheOtherOneRefuses(long silenceMs) throws Exception {
		FakeBackend silent = engine(Report.NAMES_ITSELF, silentAfter(2, silenceMs));
		FakeBackend other = engine(Report.NAMES_NOBODY, refusal());
		this.fixture.register("pool", "e1", silent);
		registerAfter(this.fixture, silent, "e2", other);
		assertWhole(this.fixture.call("POST", "/stream/1"));
		assertThat(other.requests()).hasSize(1);
	}

	/** A request may be sent six times at most, refusals included. */
	@Test
	void refusalsOfOtherEnginesAreNotCollectedForTheWholeSilence() throws Exception {
		FakeBackend silent = engine(Report.NAMES_ITSELF, silentAfter(2, 2_000));
		this.fixture.register("pool", "e0", silent);
		List<FakeBackend> refusing = new ArrayList<>();
		for (int i = 1; i <= 8; i++) {
			refusing.add(engine(Report.NAMES_NOBODY, refusal()));
		}
		afterRequestTo(silent, () -> {
			for (int i = 0; i < refusing.size(); i++) {
				this.fixture.register("pool", "e" + (i + 1), refusing.get(i));
			}
		});
		assertWhole(this.fixture.call("POST", "/stream/1"));
		assertThat(refusing.stream().mapToInt((engine) -> engine.requests().size()).sum()).isAtMost(5);
	}

	/** Two engines hold the second half of the layers; the first one is named. */
	@Test
	void streamMovesToAnotherChainOfTheSameFirstEngine() throws Exception {
		AtomicInteger calls = new AtomicInteger();
		FakeBackend second = engine(Report.NAMES_NOBODY, refusal());
		FakeBackend third = engine(Report.NAMES_NOBODY, refusal());
		FakeBackend first = new FakeBackend((head, socket, out) -> {
			if (head.startsWith("get /report")) {
				FakeBackend.response(200, "", "r1 " + second.address()).handle(head, socket, out);
			}
			else if (calls.incrementAndGet() == 1) {
				silentForGoodAfter(2).handle(head, socket, out);
			}
			else {
				completeFrom(3, 0).handle(head, socket, out);
			}
		});
		this.engines.add(first);
		LayerRange firstHalf = new LayerRange(0, 4);
		LayerRange secondHalf = new LayerRange(4, 8);
		this.fixture.gateway()
			.updateInstances(List.of(instance("e1", first.address(), 8, firstHalf),
					instance("e2", second.address(), 8, secondHalf)));
		try (Socket caller = this.fixture.send("POST", "/stream/1", "key: k1\r\nconnection: close\r\n")) {
			assertThat(caller.getInputStream().read()).isAtLeast(0);
			this.fixture.gateway()
				.updateInstances(List.of(instance("e1", first.address(), 8, firstHalf),
						instance("e2", second.address(), 8, secondHalf),
						instance("e3", third.address(), 8, secondHalf)));
			assertWhole("H" + GatewayFixture.readAll(caller.getInputStream()));
		}
		assertThat(calls.get()).isEqualTo(2);
	}

	@Test
	void streamStaysAtItsSilentEngineWhenTheOtherOneCannotBeReached() throws Exception {
		FakeBackend silent = engine(Report.NAMES_ITSELF, silentAfter(2, 1_200));
		FakeBackend other = engine(Report.NAMES_NOBODY, refusal());
		other.close();
		this.fixture.register("pool", "e1", silent);
		registerAfter(this.fixture, silent, "e2", other);
		assertWhole(this.fixture.call("POST", "/stream/1"));
	}

	@Test
	void streamStaysAtItsSilentEngineWhenTheOtherOneHasNoRoom() throws Exception {
		FakeBackend full = engine(Report.NAMES_NOBODY, silentForGoodAfter(1));
		FakeBackend silent = engine(Report.NAMES_ITSELF, silentAfter(2, 1_200));
		this.fixture.gateway().updateInstances(List.of(instance("e2", full.address(), 1)));
		try (Socket occupant = this.fixture.send("POST", "/once/1", "key: k1\r\n")) {
			assertThat(occupant.getInputStream().read()).isAtLeast(0);
			this.fixture.gateway()
				.updateInstances(List.of(instance("e1", silent.address(), 8), instance("e2", full.address(), 1)));
			assertWhole(this.fixture.call("POST", "/stream/1"));
		}
		assertThat(full.requests()).hasSize(1);
	}

	@Test
	void streamOutlastsASilenceWithoutARetryLeft() throws Exception {
		FakeBackend silent = engine(Report.NAMES_ITSELF, silentAfter(2, 1_200));
		FakeBackend other = engine(Report.NAMES_NOBODY, completeFrom(3, 0));
		try (GatewayFixture withoutRetries = new GatewayFixture(0, 0).configured()) {
			withoutRetries.register("pool", "e1", silent);
			registerAfter(withoutRetries, silent, "e2", other);
			assertWhole(withoutRetries.call("POST", "/stream/1"));
		}
		assertThat(other.requests()).isEmpty();
	}

	/** The route allows two servers; the first one has broken the stream off. */
	@Test
	void streamOutlastsASilenceWithoutAServerLeft() throws Exception {
		AtomicInteger calls = new AtomicInteger();
		FakeBackend.Script script = (head, socket, out) -> {
			if (calls.incrementAndGet() == 1) {
				FakeBackend.write(out, HEAD + "p1\r\n\r\n");
				events(out, 1, 1);
				return;
			}
			FakeBackend.write(out, HEAD + "p2\r\n\r\n");
			events(out, 2, 3);
			TimeUnit.MILLISECONDS.sleep(1_200);
			events(out, 4, LAST_EVENT);
			FakeBackend.write(out, "0\r\n\r\n");
		};
		for (int i = 1; i <= 3; i++) {
			this.fixture.register("pool", "e" + i, engine(Report.NAMES_ITSELF, script));
		}
		assertWhole(this.fixture.call("POST", "/stream/1"));
		assertThat(calls.get()).isEqualTo(2);
	}

	@ParameterizedTest
	@EnumSource(Report.class)
	void silentEngineMayStillFinishWhenItsSuccessorIsSilentToo(Report successorReport) throws Exception {
		FakeBackend silent = engine(Report.NAMES_ITSELF, silentAfter(2, 1_600));
		FakeBackend successor = engine(successorReport, mute());
		this.fixture.register("pool", "e1", silent);
		registerAfter(this.fixture, silent, "e2", successor);
		assertWhole(this.fixture.call("POST", "/stream/1"));
		assertThat(successor.requests()).hasSize(1);
	}

	@ParameterizedTest
	@EnumSource(Report.class)
	void successorMayStillFinishAfterASilence(Report successorReport) throws Exception {
		FakeBackend silent = engine(Report.NAMES_ITSELF, silentForGoodAfter(2));
		FakeBackend successor = engine(successorReport, completeFrom(3, 1_200));
		this.fixture.register("pool", "e1", silent);
		registerAfter(this.fixture, silent, "e2", successor);
		assertWhole(this.fixture.call("POST", "/stream/1"));
	}

	@Test
	void thirdEngineTakesOverWhenBothOthersAreSilent() throws Exception {
		allowServers(3);
		FakeBackend silent = engine(Report.NAMES_ITSELF, silentForGoodAfter(2));
		FakeBackend successor = engine(Report.NAMES_ITSELF, mute());
		FakeBackend third = engine(Report.NAMES_NOBODY, completeFrom(3, 0));
		this.fixture.register("pool", "e1", silent);
		registerAfter(this.fixture, silent, "e2", successor);
		registerAfter(this.fixture, successor, "e3", third);
		assertWhole(this.fixture.call("POST", "/stream/1"));
		assertThat(third.requests().getFirst()).contains("after: 2");
	}

	/** The third engine does not free the others for a fourth one. */
	@Test
	void silentEnginesMayStillFinishWhenAThirdOneIsSilentToo() throws Exception {
		allowServers(3);
		FakeBackend silent = engine(Report.NAMES_ITSELF, silentAfter(2, 2_000));
		FakeBackend successor = engine(Report.UNANSWERED, mute());
		FakeBackend third = engine(Report.UNANSWERED, mute());
		this.fixture.register("pool", "e1", silent);
		registerAfter(this.fixture, silent, "e2", successor);
		registerAfter(this.fixture, successor, "e3", third);
		assertWhole(this.fixture.call("POST", "/stream/1"));
		assertThat(third.requests()).hasSize(1);
	}

	@Test
	void engineThatIsFoundLaterTakesOverFromASilentOne() throws Exception {
		FakeBackend silent = engine(Report.NAMES_ITSELF, silentForGoodAfter(2));
		FakeBackend later = engine(Report.NAMES_NOBODY, completeFrom(3, 0));
		this.fixture.register("pool", "e1", silent);
		CompletableFuture.runAsync(() -> this.fixture.register("pool", "e2", later),
				CompletableFuture.delayedExecutor(1_500, TimeUnit.MILLISECONDS));
		assertWhole(this.fixture.call("POST", "/stream/1"));
	}

	@Test
	void successorIsCancelledWhenTheDiagnosedEngineGoesOn() throws Exception {
		CountDownLatch cancelled = new CountDownLatch(1);
		FakeBackend silent = engine(Report.NAMES_ITSELF, silentAfter(2, 900));
		FakeBackend successor = engine(Report.NAMES_NOBODY, (head, socket, out) -> {
			try {
				socket.getInputStream().read();
			}
			finally {
				cancelled.countDown();
			}
		});
		this.fixture.register("pool", "e1", silent);
		registerAfter(this.fixture, silent, "e2", successor);
		assertWhole(this.fixture.call("POST", "/stream/1"));
		assertThat(cancelled.await(2, TimeUnit.SECONDS)).isTrue();
	}

	@ParameterizedTest
	@ValueSource(longs = { 500, 1_600, 2_000 })
	void leavingEngineMayFinishAfterASilence(long silenceMs) throws Exception {
		FakeBackend leaving = engine(Report.NAMES_ITSELF, silentAfter(2, silenceMs));
		this.fixture.register("pool", "e1", leaving);
		afterRequestTo(leaving, () -> this.fixture.gateway().updateInstances(List.of()));
		assertWhole(this.fixture.call("POST", "/stream/1"));
	}

	@Test
	void leavingEngineMayFinishWhenItsSuccessorIsSilent() throws Exception {
		FakeBackend leaving = engine(Report.NAMES_ITSELF, silentAfter(2, 2_000));
		FakeBackend successor = engine(Report.UNANSWERED, mute());
		this.fixture.register("pool", "e1", leaving);
		afterRequestTo(leaving, () -> this.fixture.replace("pool", "e2", successor));
		assertWhole(this.fixture.call("POST", "/stream/1"));
	}

	/** The engine's streams are lost, whatever it answers now under its old address. */
	@ParameterizedTest
	@CsvSource({ "e1, NAMES_NOBODY", "e9, NAMES_NOBODY", "e9, NAMES_ITSELF" })
	void streamMovesAwayFromAnEngineThatHasStartedAgain(String newId, Report report) throws Exception {
		FakeBackend restarted = engine(report, silentForGoodAfter(2));
		FakeBackend other = engine(Report.NAMES_NOBODY, completeFrom(3, 0));
		this.fixture.gateway().updateInstances(List.of(instance("e1", restarted.address(), 8)));
		afterRequestTo(restarted, () -> {
			// Longer than the silence up to which another chain is tried without a cause.
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(700));
			this.fixture.gateway()
				.updateInstances(List.of(new ServiceInstance(newId, "pool", restarted.address(), "a", 8, false, 2,
						"fast", Optional.empty()), instance("e2", other.address(), 8)));
		});
		assertWhole(this.fixture.call("POST", "/stream/1"));
	}

	@Test
	void successorThatRepeatsEventsAndBreaksDoesNotEndTheSilentEngine() throws Exception {
		FakeBackend silent = engine(Report.NAMES_NOBODY, silentAfter(2, 1_200));
		FakeBackend repeating = engine(Report.NAMES_NOBODY, (head, socket, out) -> {
			FakeBackend.write(out, HEAD + "p2\r\n\r\n");
			events(out, 1, 2);
			TimeUnit.MILLISECONDS.sleep(100);
		});
		allowServers(2);
		this.fixture.register("pool", "e1", silent);
		registerAfter(this.fixture, silent, "e2", repeating);
		assertWhole(this.fixture.call("POST", "/stream/1"));
	}

	@Test
	void commentsOfAStuckEngineDoNotEndItsSuccessor() throws Exception {
		FakeBackend stuck = engine(Report.NAMES_NOBODY, (head, socket, out) -> {
			FakeBackend.write(out, HEAD + "p1\r\n\r\n");
			events(out, 1, 2);
			while (!this.end.await(20, TimeUnit.MILLISECONDS)) {
				FakeBackend.write(out, FakeBackend.chunk(": ping\n\n"));
			}
		});
		FakeBackend other = engine(Report.NAMES_NOBODY, completeFrom(3, 300));
		this.fixture.register("pool", "e1", stuck);
		registerAfter(this.fixture, stuck, "e2", other);
		assertWhole(this.fixture.call("POST", "/stream/1"));
	}

	@Test
	void streamStillEndsAtItsDeadline() throws Exception {
		this.fixture.register("pool", "e1", engine(Report.NAMES_ITSELF, silentForGoodAfter(2)));
		long startedNs = System.nanoTime();
		String response = this.fixture.callWith("POST", "/stream/1", "key: k1\r\ndeadline: 1500\r\n");
		assertThat(response).contains("data: e2");
		assertThat(response).doesNotContain("0\r\n\r\n");
		assertThat(System.nanoTime() - startedNs).isAtLeast(TimeUnit.MILLISECONDS.toNanos(1_400));
	}

	@Test
	void allCallsAreClosedWhenTheCallerLeavesSilentEngines() throws Exception {
		CountDownLatch received = new CountDownLatch(2);
		CountDownLatch closed = new CountDownLatch(2);
		FakeBackend.Script script = (head, socket, out) -> {
			received.countDown();
			try {
				socket.getInputStream().read();
			}
			finally {
				// The read ends with the end of the stream or with a reset.
				closed.countDown();
			}
		};
		this.fixture.register("pool", "e1", engine(Report.NAMES_ITSELF, script));
		this.fixture.register("pool", "e2", engine(Report.NAMES_ITSELF, script));
		try (Socket caller = this.fixture.send("POST", "/stream/1", "key: k1\r\n")) {
			assertThat(received.await(3, TimeUnit.SECONDS)).isTrue();
			TimeUnit.MILLISECONDS.sleep(600);
			assertThat(closed.getCount()).isEqualTo(2);
		}
		assertThat(closed.await(2, TimeUnit.SECONDS)).isTrue();
	}

}
