package org.medlardrum.entry.internal.model;

import org.medlardrum.protocol.engine.EngineFrame;
import org.medlardrum.state.LayerRange;

/**
 * Checks that a frame belongs to the attempt and that its token is the next one of the
 * completion.
 */
final class FrameValidator {

	private final String requestId;

	private final int attempt;

	private final int layerCount;

	FrameValidator(String requestId, int attempt, int layerCount) {
		this.requestId = requestId;
		this.attempt = attempt;
		this.layerCount = layerCount;
	}

	Verdict validate(EngineFrame frame, int nextPosition) {
		if (!this.requestId.equals(frame.request())) {
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
		return (token.text() != null && coversAllLayers(token)) ? Verdict.ACCEPTED : Verdict.WRONG_LAYERS;
	}

	private boolean coversAllLayers(EngineFrame.Token token) {
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
	 * Result of the validation of one frame.
	 */
	enum Verdict {

		/** The frame is the next one of the attempt. */
		ACCEPTED(false),

		/** The frame belongs to another request. */
		OTHER_REQUEST(false),

		/** The frame belongs to another attempt. */
		OTHER_ATTEMPT(false),

		/** The token was already delivered. */
		REPEATED_POSITION(false),

		/** A token before this one is missing, so the attempt cannot continue. */
		SKIPPED_POSITION(true),

		/** The token has no text or did not pass through each layer exactly once. */
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
