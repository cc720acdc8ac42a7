package org.medlardrum.gateway;

import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.state.LayerRange;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against chains across zones beyond the budget of the links, and against chains
 * through an engine that has lost its layers while the registry cannot be read.
 */
class ScarceLinkTests {

	private static final FakeBackend.Script SERVE = FakeBackend.response(200, "id: r1\r\nproof: p\r\n", "id: 1\n\n");

	/**
	 * A request waits for an eighth of its time at most, here for less than 1 ms, and the
	 * clock of this test does not run.
	 */
	private static final String NO_TIME_TO_WAIT = "key: k1\r\ndeadline: 7\r\n";

	private GatewayFixture fixture;

	private FakeBackend sound;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.fixture.pauseClock();
		this.sound = new FakeBackend(SERVE);
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
		this.sound.close();
	}

	private void advance(long ms) {
		this.fixture.clockOffsetMs.addAndGet(ms);
		this.fixture.confirm();
	}

	private void configure(boolean scarceLinks) {
		if (scarceLinks) {
			this.fixture.configuredWithScarceLinks();
		}
		else {
			this.fixture.configured();
		}
	}

	/**
	 * The engine refuses every chain with status 421 and names itself. Its entry in this
	 * host's copy of the registry does not change for 9 s.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void engineWithoutItsLayersIsNotAskedAgain(boolean scarceLinks) throws Exception {
		configure(scarceLinks);
		FakeBackend[] empty = new FakeBackend[1];
		empty[0] = new FakeBackend((head, socket, out) -> FakeBackend
			.response(421, "id: r1\r\nnot-run: 1\r\nfaulty: " + empty[0].address() + "\r\n", "")
			.handle(head, socket, out));
		try (FakeBackend lost = empty[0]) {
			this.fixture.register("pool", "e1", lost);
			this.fixture.register("pool", "e2", this.sound);
			for (long ms = 0; ms < 9_000; ms += 250) {
				assertThat(this.fixture.call("POST", "/stream/1")).startsWith("HTTP/1.1 200");
				advance(250);
			}
			assertThat(lost.requests()).hasSize((scarceLinks) ? 3 : 9);
			this.fixture.report("e1");
			assertThat(this.fixture.call("POST", "/stream/1")).startsWith("HTTP/1.1 200");
			assertThat(lost.requests()).hasSize((scarceLinks) ? 4 : 10);
		}
	}

	/**
	 * Each request takes 120 tokens; a link carries 1,250 tokens/s, of which 1,000 count.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void chainsAcrossZonesAreRefusedBeyondTheBudget(boolean scarceLinks) throws Exception {
		configure(scarceLinks);
		this.fixture.registerEngine("e1", this.sound.address(), "a", new LayerRange(0, 4));
		this.fixture.registerEngine("e2", "127.0.0.1:1", "b", new LayerRange(4, 8));
		int served = 0;
		for (int i = 0; i < 40; i++) {
			served += (this.fixture.callWith("POST", "/stream/1", NO_TIME_TO_WAIT).startsWith("HTTP/1.1 200")) ? 1 : 0;
		}
		assertThat(served).isEqualTo((scarceLinks) ? 8 : 40);
		advance(1_000);
		assertThat(this.fixture.call("POST", "/stream/1")).startsWith("HTTP/1.1 200");
	}

	/** The call to the first engine carries no activations. */
	@Test
	void chainWithinAnotherZoneIsUsedWithoutBudget() throws Exception {
		configure(true);
		this.fixture.registerEngine("e1", "127.0.0.1:1", "a", new LayerRange(0, 4));
		this.fixture.registerEngine("e2", this.sound.address(), "b", new LayerRange(0, 4));
		this.fixture.registerEngine("e3", "127.0.0.1:2", "b", new LayerRange(4, 8));
		for (int i = 0; i < 40; i++) {
			assertThat(this.fixture.call("POST", "/stream/1")).startsWith("HTTP/1.1 200");
		}
	}

	/**
	 * The budget is used up by new streams when the engine of a started one fails, and
	 * the only other chain crosses zones. Without an overdraft the caller loses a stream
	 * that it has begun to read.
	 */
	@Test
	void startedStreamResumesOverALinkWithoutBudget() throws Exception {
		configure(true);
		String head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nid: r1\r\nproof: p\r\n\r\n";
		try (FakeBackend breaking = new FakeBackend(
				(request, socket, out) -> FakeBackend.write(out, head + FakeBackend.chunk("id: 1\ndata: e1\n\n")));
				FakeBackend next = new FakeBackend((request, socket, out) -> FakeBackend.write(out,
						head + FakeBackend.chunk("id: 2\ndata: e2\n\n") + "0\r\n\r\n"))) {
			this.fixture.registerEngine("e2", next.address(), "a", new LayerRange(0, 4));
			this.fixture.registerEngine("e3", "127.0.0.1:1", "b", new LayerRange(4, 8));
			int sent = 0;
			while (this.fixture.callWith("POST", "/stream/1", NO_TIME_TO_WAIT).startsWith("HTTP/1.1 200")) {
				sent++;
			}
			assertThat(sent).isEqualTo(8);
			this.fixture.register("pool", "e1", breaking);
			String response = this.fixture.call("POST", "/stream/1");
			assertThat(response).contains("data: e1");
			assertThat(response).contains("data: e2");
			assertThat(breaking.requests()).hasSize(1);
			assertThat(next.requests()).hasSize(sent + 1);
		}
	}

	/**
	 * A chain that refuses a request sends nothing over the link. Refusals of one moment
	 * would otherwise use up the budget of the next seconds.
	 */
	@Test
	void refusedChainsTakeNoBudget() throws Exception {
		configure(true);
		AtomicReference<FakeBackend.Script> script = new AtomicReference<>(
				FakeBackend.response(503, "id: r1\r\nnot-run: 1\r\n", ""));
		try (FakeBackend first = new FakeBackend((head, socket, out) -> script.get().handle(head, socket, out))) {
			this.fixture.registerEngine("e1", first.address(), "a", new LayerRange(0, 4));
			this.fixture.registerEngine("e2", "127.0.0.1:1", "b", new LayerRange(4, 8));
			for (int i = 0; i < 20; i++) {
				assertThat(this.fixture.call("POST", "/stream/1")).startsWith("HTTP/1.1 503");
			}
			assertThat(first.requests()).hasSize(20);
			script.set(SERVE);
			int served = 0;
			while (this.fixture.callWith("POST", "/stream/1", NO_TIME_TO_WAIT).startsWith("HTTP/1.1 200")) {
				served++;
			}
			assertThat(served).isEqualTo(8);
		}
	}

}
