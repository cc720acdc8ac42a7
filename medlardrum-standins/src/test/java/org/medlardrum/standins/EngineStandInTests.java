package org.medlardrum.standins;

import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;

import com.google.gson.Gson;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.protocol.engine.EngineFrame;
import org.medlardrum.protocol.engine.EngineOrder;
import org.medlardrum.standins.internal.engine.LedgerEntry;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.Rank;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an engine stand-in whose tokens do not show which layers ran, whose
 * error frames report "not run" for a request that may have run, or whose simulated
 * faults differ from those of a real process.
 */
@Timeout(120)
class EngineStandInTests {

	private static final String PROMPT = "How many calves crossed the river?";

	private static final String ALL_REQUESTS = "";

	// Makes a token with 50 microseconds a layer take 300 seconds, so that its step does
	// not end during the test.
	private static final double NEVER_ENDING_SLOW_FACTOR = 1_000_000;

	private final TokenFunction tokenFunction = new TokenFunction("tally", "", PROMPT);

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 6 })
	void completionIsTheSameForEverySplitAndEachLayerRunsOnceInOrder(int stages) throws Exception {
		try (EngineChain chain = new EngineChain(stages, 4, 50)) {
			List<EngineFrame> frames = chain.generate(chain.request("r1", 1, PROMPT, List.of(), 12, Rank.URGENT));
			assertThat(EngineChain.tokenTexts(frames)).isEqualTo(this.tokenFunction.tokens(EngineChain.LAYERS, 12));
			EngineFrame.End end = (EngineFrame.End) frames.get(frames.size() - 1);
			assertThat(end.tokenCount()).isEqualTo(frames.size() - 1);
			assertThat(end.loads()).hasSize(stages);
			assertThat(end.stageTimesUs()).hasSize(stages);
			int nextLayer = 0;
			for (LayerRange range : ((EngineFrame.Token) frames.get(0)).layers()) {
				assertThat(range.fromLayer()).isEqualTo(nextLayer);
				nextLayer = range.toLayer();
			}
			assertThat(nextLayer).isEqualTo(EngineChain.LAYERS);
			for (int i = 0; i < stages; i++) {
				assertThat(chain.engine(i).ledger("r1")).containsNoDuplicates();
				assertThat(chain.engine(i).ledger("r1")).hasSize(end.tokenCount());
			}
		}
	}

	@Test
	void missingRepeatedOrSwappedLayerChangesTheToken() {
		long start = TokenFunction.initialActivation(this.tokenFunction.historyHash(List.of()), 0);
		String expected = this.tokenFunction.tokens(3, 8).get(0);
		long missing = TokenFunction.applyLayers(start, new LayerRange(0, 2));
		long repeated = TokenFunction.applyLayers(TokenFunction.applyLayers(start, new LayerRange(0, 3)),
				new LayerRange(2, 3));
		long swapped = TokenFunction.applyLayers(
				TokenFunction.applyLayers(TokenFunction.applyLayers(start, new LayerRange(0, 1)), new LayerRange(2, 3)),
				new LayerRange(1, 2));
		for (long activation : new long[] { missing, repeated, swapped }) {
			assertThat(TokenFunction.decodeToken(activation)).isNotEqualTo(expected);
		}
		assertThat(new TokenFunction("tally", "", PROMPT + "?").tokens(3, 8).get(0)).isNotEqualTo(expected);
		assertThat(new TokenFunction("tally", "a", PROMPT).tokens(3, 8).get(0)).isNotEqualTo(expected);
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 5, 11, 12 })
	void resumeContinuesWithTheSameTokens(int maxEmitted) throws Exception {
		List<String> all = this.tokenFunction.tokens(EngineChain.LAYERS, 12);
		// The completion may be shorter than 12 tokens.
		int emittedCount = Math.min(maxEmitted, all.size());
		try (EngineChain chain = new EngineChain(2, 4, 50)) {
			List<EngineFrame> frames = chain
				.generate(chain.request("r1", 2, PROMPT, all.subList(0, emittedCount), 12, Rank.URGENT));
			assertThat(EngineChain.tokenTexts(frames)).isEqualTo(all.subList(emittedCount, all.size()));
			assertThat(chain.engine(0).ledger("r1").stream().map(LedgerEntry::position).toList())
				.isEqualTo(java.util.stream.IntStream.range(emittedCount, all.size()).boxed().toList());
		}
	}

	@Test
	void crashedSuccessorIsReportedAsMayHaveRun() throws Exception {
		try (EngineChain chain = new EngineChain(3, 4, 50)) {
			chain.engine(2).crashOnPrompt("calves", 0);
			String bootId = chain.engine(2).report().bootId();
			EngineFrame last = last(chain.generate(chain.request("r1", 1, PROMPT, List.of(), 12, Rank.URGENT)));
			EngineFrame.Error error = (EngineFrame.Error) last;
			assertThat(error.server()).isEqualTo("e2");
			assertThat(error.position()).isEqualTo(0);
			assertThat(error.ran()).isEqualTo("unknown");
			assertThat(error.code()).isEqualTo("stage-failed");
			chain.engine(2).crashOnPrompt("", 0);
			chain.engine(2).restart();
			assertThat(chain.engine(2).report().bootId()).isNotEqualTo(bootId);
			List<EngineFrame> retry = chain.generate(chain.request("r1", 2, PROMPT, List.of(), 12, Rank.URGENT));
			assertThat(EngineChain.tokenTexts(retry)).isEqualTo(this.tokenFunction.tokens(EngineChain.LAYERS, 12));
		}
	}

	@Test
	void crashedHeadBreaksTheStreamWithoutAFrameAndRefusesConnections() throws Exception {
		try (EngineChain chain = new EngineChain(2, 4, 50)) {
			chain.engine(0).crashOnPrompt("calves", 0);
			assertThat(chain.generate(chain.request("r1", 1, PROMPT, List.of(), 12, Rank.URGENT))).isEmpty();
			assertThat(new TestHttp(chain.engine(0).address()).get("/v1/load")).isEqualTo(TestHttp.NO_RESPONSE);
			chain.engine(0).restart();
			assertThat(new TestHttp(chain.engine(0).address()).get("/v1/load")).isEqualTo(200);
		}
	}

	@Test
	void refusalsBeforeTheFirstStepAreMarkedNotRun() throws Exception {
		try (EngineChain chain = new EngineChain(1, 4, 50)) {
			chain.engine(0).setLeaving(true);
			assertRefused(chain, "leaving");
			chain.engine(0).setLeaving(false);
			chain.engine(0).setFailFast(true);
			assertRefused(chain, "stage-failed");
			assertThat(chain.engine(0).ledger(ALL_REQUESTS)).isEmpty();
		}
	}

	@Test
	void closedConnectionFreesTheSlot() throws Exception {
		try (EngineChain chain = new EngineChain(1, 1, 50)) {
			chain.engine(0).setSlowFactor(NEVER_ENDING_SLOW_FACTOR);
			InputStream stream = chain.openStream(chain.request("r1", 1, PROMPT, List.of(), 12, Rank.URGENT));
			awaitRunningAndQueued(chain, 1, 0);
			stream.close();
			awaitRunningAndQueued(chain, 0, 0);
		}
	}

	@Test
	void explicitCancelEndsTheStreamWithAnError() throws Exception {
		try (EngineChain chain = new EngineChain(1, 1, 50)) {
			chain.engine(0).setSlowFactor(NEVER_ENDING_SLOW_FACTOR);
			List<EngineFrame> frames = new ArrayList<>();
			Thread caller = Thread.ofVirtual().start(() -> {
				try {
					frames.addAll(chain.generate(chain.request("r1", 1, PROMPT, List.of(), 12, Rank.URGENT)));
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			});
			awaitRunningAndQueued(chain, 1, 0);
			new TestHttp(chain.engine(0).address()).post("/v1/cancel", "{\"request\":\"r1\",\"attempt\":1}");
			caller.join();
			assertThat(((EngineFrame.Error) last(frames)).code()).isEqualTo("cancelled");
			awaitRunningAndQueued(chain, 0, 0);
		}
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void oldFencingTokenIsRefusedOnlyByEnginesThatCheckIt(boolean fencing) throws Exception {
		EngineSettings settings = EngineSettings.of("e", "tally", 0, 6)
			.with((json) -> json.addProperty("fencing", fencing));
		try (EngineStandIn engine = new EngineStandIn(settings)) {
			TestHttp http = new TestHttp(engine.address());
			assertThat(http.post("/v1/orders", order(7, "prefill"))).isEqualTo(202);
			assertThat(http.post("/v1/orders", order(6, "decode"))).isEqualTo((fencing) ? 409 : 202);
			assertThat(http.post("/v1/orders", order(7, "both"))).isEqualTo(202);
		}
	}

	private void assertRefused(EngineChain chain, String code) throws Exception {
		EngineFrame.Error error = (EngineFrame.Error) last(
				chain.generate(chain.request("r1", 1, PROMPT, List.of(), 12, Rank.URGENT)));
		assertThat(error.ran()).isEqualTo("no");
		assertThat(error.code()).isEqualTo(code);
	}

	private static String order(long fencingToken, String role) {
		return new Gson().toJson(new EngineOrder(fencingToken, "o", "tally", "1", List.of(), role));
	}

	private static EngineFrame last(List<EngineFrame> frames) {
		return frames.get(frames.size() - 1);
	}

	private static void awaitRunningAndQueued(EngineChain chain, int running, int queued) throws InterruptedException {
		while (chain.engine(0).report().running() != running || chain.engine(0).report().queued() != queued) {
			Thread.sleep(1);
		}
	}

}
