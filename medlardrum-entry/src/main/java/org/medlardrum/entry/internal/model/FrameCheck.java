package org.medlardrum.entry.internal.model;

import org.medlardrum.protocol.engine.EngineFrame;
import org.medlardrum.state.LayerRange;

/**
 * Checks that a frame belongs to the attempt and that its token continues the answer.
 */
final class FrameCheck {

	private final String request;

	private final int attempt;

	private final int layerCount;

	FrameCheck(String request, int attempt, int layerCount) {
		this.request = request;
		this.attempt = attempt;
		this.layerCount = layerCount;
	}

	Verdict check(EngineFrame frame, int nextPosition) {
		if (!this.request.equals(frame.request())) {
			return Verdict.OTHER_REQUEST;
		}
		if (frame.attempt() != this.attempt) {
			return Verdict.OTHER_ATTEMPT;
		}
		if (!(frame instanceof EngineFrame.Token token)) {
			return Verdict.ACCEPTED;
		}
		if (token.position() < nextPosition) {
			return Verdict.REPEATED_POSITION;
		}
		if (token.position() > nextPosition) {
			return Verdict.SKIPPED_POSITION;
		}
		return (token.text() != null && covers(token)) ? Verdict.ACCEPTED : Verdict.WRONG_LAYERS;
	}

	private boolean covers(EngineFrame.Token token) {
		if (token.layers() == null) {
			return false;
		}
		int nextLayer = 0;
		for (LayerRange range : token.layers()) {
			if (range == null || range.fromLayer() != nextLayer || range.toLayer() <= nextLayer) {
				return false;
			}
			nextLayer = range.toLayer();
		}
		return nextLayer == this.layerCount;
	}

	/**
	 * Verdict about one frame.
	 */
	enum Verdict {

		/** The frame continues the answer. */
		ACCEPTED(false),

		/** The frame is of another request. */
		OTHER_REQUEST(false),

		/** The frame is of another attempt. */
		OTHER_ATTEMPT(false),

		/** The token was already delivered. */
		REPEATED_POSITION(false),

		/** A token before this one is missing, so that the attempt cannot go on. */
		SKIPPED_POSITION(true),

		/** The token did not run through each layer exactly once. */
		WRONG_LAYERS(true);

		private final boolean endsAttempt;

		Verdict(boolean endsAttempt) {
			this.endsAttempt = endsAttempt;
		}

		boolean endsAttempt() {
			return this.endsAttempt;
		}

		String label() {
			return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
		}

	}

}
