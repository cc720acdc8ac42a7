package org.medlardrum.entry;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.medlardrum.protocol.engine.EngineFrame;
import org.medlardrum.protocol.engine.GenerateRequest;
import org.medlardrum.state.BackendServerKind;
import org.medlardrum.state.LayerRange;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against sending a caller tokens of another request or attempt, or repeated,
 * skipped or wrongly computed tokens.
 */
class FrameFailureTests {

	private static EngineFrame wrongFrame(GenerateRequest request, String kind) {
		return switch (kind) {
			case "other-request" -> new EngineFrame.Token("someone-else", request.attempt(), 1, "x",
					List.of(new LayerRange(0, EntryFixture.LAYER_COUNT)));
			case "other-attempt" -> FakeEngine.token(request, request.attempt() + 1, 1, "x");
			case "repeated-position" -> FakeEngine.token(request, request.attempt(), 0, "x");
			case "skipped-position" -> FakeEngine.token(request, request.attempt(), 2, "x");
			case "missing-layers" -> new EngineFrame.Token(request.request(), request.attempt(), 1, "x",
					List.of(new LayerRange(0, EntryFixture.LAYER_COUNT - 1)));
			case "repeated-layers" -> new EngineFrame.Token(request.request(), request.attempt(), 1, "x",
					List.of(new LayerRange(0, 5), new LayerRange(4, EntryFixture.LAYER_COUNT)));
			case "late-end" ->
				new EngineFrame.End(request.request(), request.attempt() + 1, 1, "stop", List.of(), List.of());
			case "early-end" ->
				new EngineFrame.End(request.request(), request.attempt(), 9, "stop", List.of(), List.of());
			default -> throw new IllegalArgumentException("Unknown kind of wrong frame: " + kind);
		};
	}

	private static List<EngineFrame> frames(GenerateRequest request, String kind) {
		// Like an engine, a resumed attempt sends only the tokens not yet delivered.
		if (request.emitted().size() == 1) {
			return List.of(FakeEngine.token(request, request.attempt(), 1, "b"), FakeEngine.end(request, 2));
		}
		return List.of(FakeEngine.token(request, request.attempt(), 0, "a"), wrongFrame(request, kind),
				FakeEngine.token(request, request.attempt(), 1, "b"), FakeEngine.end(request, 2));
	}

	@ParameterizedTest
	@CsvSource({ "other-request, other-request, 1", "other-attempt, other-attempt, 1",
			"repeated-position, repeated-position, 1", "late-end, other-attempt, 1",
			"skipped-position, skipped-position, 2", "missing-layers, wrong-layers, 2",
			"repeated-layers, wrong-layers, 2" })
	void wrongFramesAreDroppedAndCounted(String kind, String reason, int attempts) throws Exception {
		try (FakeEngine first = new FakeEngine("f1", (request) -> frames(request, kind));
				FakeEngine second = new FakeEngine("f2", (request) -> frames(request, kind));
				EntryFixture fixture = new EntryFixture()
					.backendServer("f1", first.address(), BackendServerKind.ENGINE, "engines")
					.backendServer("f2", second.address(), BackendServerKind.ENGINE, "engines")
					.start()) {
			assertThat(EntryFixture.completionText(fixture.chat("frames", 5, false))).isEqualTo("ab");
			assertThat(fixture.metric("medlardrum_dropped_frames_total{reason=\"" + reason + "\"}")).isEqualTo(1.0);
			assertThat(first.generationCount() + second.generationCount()).isEqualTo(attempts);
		}
	}

	@Test
	void endWithAWrongTokenCountDoesNotCompleteTheResponse() throws Exception {
		try (FakeEngine engine = new FakeEngine("f1", (request) -> frames(request, "early-end"));
				EntryFixture fixture = new EntryFixture()
					.backendServer("f1", engine.address(), BackendServerKind.ENGINE, "engines")
					.start()) {
			assertThat(EntryFixture.completionText(fixture.chat("frames", 5, false))).isEqualTo("ab");
			assertThat(engine.generationCount()).isAtLeast(2);
		}
	}

	/**
	 * Guards against an internal error when an engine refuses without giving a reason.
	 */
	@Test
	void refusalWithoutAReasonFailsOverToAnotherEngine() throws Exception {
		try (FakeEngine refusing = new FakeEngine("f1",
				(request) -> List
					.of(new EngineFrame.Error(request.request(), request.attempt(), "no", "f1", 0, null, "no reason")));
				FakeEngine working = new FakeEngine("f2",
						(request) -> List.of(FakeEngine.token(request, request.attempt(), 0, "a"),
								FakeEngine.end(request, 1)));
				EntryFixture fixture = new EntryFixture()
					.backendServer("f1", refusing.address(), BackendServerKind.ENGINE, "engines")
					.backendServer("f2", working.address(), BackendServerKind.ENGINE, "engines")
					.start()) {
			while (refusing.generationCount() == 0) {
				assertThat(fixture.chat("refused", 5, false).statusCode()).isEqualTo(200);
			}
		}
	}

}
