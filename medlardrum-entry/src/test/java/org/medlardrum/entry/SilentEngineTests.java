package org.medlardrum.entry;

import java.net.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.medlardrum.protocol.engine.EngineFrame;
import org.medlardrum.protocol.engine.GenerateRequest;
import org.medlardrum.standins.EngineStandIn;
import org.medlardrum.state.BackendServerKind;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against ending the attempt of a sound engine that falls silent for a second or
 * so when no other chain can take its place, and against staying on a silent chain when
 * another one can.
 */
class SilentEngineTests {

	private static final int TOKEN_COUNT = 4;

	/** Longer than callers of the fixture wait. */
	private static final long ENDLESS_MS = 60_000;

	private static EntryFixture fixture() {
		return new EntryFixture().flag("--stall-timeout-ms", 200).flag("--first-frame-timeout-ms", 400);
	}

	// Sends all tokens that the caller has not received, with a pause before one of them.
	private static Iterable<EngineFrame> frames(GenerateRequest request, int silentBefore, long silentMs) {
		List<Supplier<EngineFrame>> frames = new ArrayList<>();
		for (int i = request.emitted().size(); i < TOKEN_COUNT; i++) {
			int position = i;
			frames.add(() -> {
				if (position == silentBefore) {
					pause(silentMs);
				}
				return FakeEngine.token(request, request.attempt(), position, "t" + position + " ");
			});
		}
		frames.add(() -> FakeEngine.end(request, TOKEN_COUNT));
		return () -> frames.stream().map(Supplier::get).iterator();
	}

	private static void pause(long durationMs) {
		try {
			Thread.sleep(durationMs);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void assertWhole(EntryFixture fixture) {
		assertThat(EntryFixture.streamedText(fixture.chat("silent", TOKEN_COUNT, true).body()))
			.isEqualTo("t0 t1 t2 t3 [DONE]");
	}

	@ParameterizedTest
	@CsvSource({ "2, 500, 1", "2, 1000, 1", "2, 3000, 1", "0, 500, 1", "0, 1000, 1", "0, 3000, 1", "2, 500, 6",
			"2, 1000, 6", "2, 3000, 6", "0, 500, 6", "0, 1000, 6", "0, 3000, 6" })
	void silentAttemptIsKeptWhenNoOtherCanBeSent(int silentBefore, long silentMs, int maxAttempts) throws Exception {
		FakeEngine.Script script = (request) -> frames(request, silentBefore, silentMs);
		try (FakeEngine first = new FakeEngine("f1", script);
				FakeEngine second = new FakeEngine("f2", script);
				EntryFixture fixture = fixture().maxAttempts(maxAttempts)
					.backendServer("f1", first.address(), BackendServerKind.ENGINE, "engines")) {
			if (maxAttempts == 1) {
				// Another chain is there, but the request may not be sent again.
				fixture.backendServer("f2", second.address(), BackendServerKind.ENGINE, "engines");
			}
			fixture.start();
			assertWhole(fixture);
			assertThat(first.generationCount() + second.generationCount()).isEqualTo(1);
		}
	}

	@ParameterizedTest
	@CsvSource({ "2", "0" })
	void silentStreamMovesToAnotherChain(int silentBefore) throws Exception {
		AtomicInteger attempts = new AtomicInteger();
		FakeEngine.Script script = (request) -> frames(request, silentBefore,
				(attempts.incrementAndGet() == 1) ? ENDLESS_MS : 0);
		try (FakeEngine first = new FakeEngine("f1", script);
				FakeEngine second = new FakeEngine("f2", script);
				EntryFixture fixture = fixture()
					.backendServer("f1", first.address(), BackendServerKind.ENGINE, "engines")
					.backendServer("f2", second.address(), BackendServerKind.ENGINE, "engines")
					.start()) {
			assertWhole(fixture);
			assertThat(first.generationCount()).isEqualTo(1);
			assertThat(second.generationCount()).isEqualTo(1);
		}
	}

	/**
	 * Guards against waiting until the deadline for a chain with a frozen engine or a
	 * lost link when the other chain has an engine in common with it.
	 */
	@ParameterizedTest
	@CsvSource({ "freeze", "link" })
	void silentStreamMovesToAChainThatSharesAnEngine(String fault) throws Exception {
		try (EntryFixture fixture = fixture().engine("head-1", 0, 4)
			.engine("head-2", 0, 4)
			.engine("tail-1", 4, 8)
			.start()) {
			EngineStandIn silent = fixture.engines.get(0);
			if (fault.equals("freeze")) {
				silent.setFrozen(true);
			}
			else {
				silent.setLinkDelayUs("tail-1", ENDLESS_MS * 1000);
			}
			for (int i = 0; i < 6; i++) {
				assertThat(EntryFixture.completionText(fixture.chat("shared " + i, 5, false)))
					.isEqualTo(EntryFixture.expectedText("shared " + i, 5));
			}
			silent.setFrozen(false);
		}
	}

	@ParameterizedTest
	@CsvSource({ "2", "0" })
	void callerThatLeavesEndsASilentAttempt(int silentBefore) throws Exception {
		try (FakeEngine engine = new FakeEngine("f1", (request) -> frames(request, silentBefore, ENDLESS_MS));
				EntryFixture fixture = fixture()
					.backendServer("f1", engine.address(), BackendServerKind.ENGINE, "engines")
					.start()) {
			try (RawClient client = new RawClient(fixture.host.callerPort())) {
				client.post("/v1/chat/completions", EntryFixture.chatBody("report", "a", TOKEN_COUNT, true));
				EntryFixture.await("generation started", () -> engine.generationCount() == 1);
				// The attempt is kept before the caller leaves.
				pause(1000);
			}
			EntryFixture.await("request counted with outcome cut", () -> fixture
				.metric("medlardrum_requests_total{organisation=\"coop\",outcome=\"cut\",rank=\"urgent\"}") == 1);
		}
	}

	@ParameterizedTest
	@CsvSource({ "2", "0" })
	void deadlineEndsASilentAttemptThatIsKept(int silentBefore) throws Exception {
		try (FakeEngine engine = new FakeEngine("f1", (request) -> frames(request, silentBefore, ENDLESS_MS));
				EntryFixture fixture = fixture()
					.backendServer("f1", engine.address(), BackendServerKind.ENGINE, "engines")
					.start()) {
			String body = fixture
				.send(fixture.request("/v1/chat/completions", EntryFixture.API_KEY)
					.POST(HttpRequest.BodyPublishers.ofString(EntryFixture.chatBody("brief", "a", TOKEN_COUNT, true))))
				.body();
			assertThat(body).contains("urn:medlardrum:problem:timed-out");
			assertThat(engine.generationCount()).isEqualTo(1);
		}
	}

}
