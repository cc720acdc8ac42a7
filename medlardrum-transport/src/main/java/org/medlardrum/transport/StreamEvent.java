package org.medlardrum.transport;

import org.medlardrum.protocol.engine.EngineFrame;

/**
 * Result of waiting for the next line of an engine's stream.
 */
public sealed interface StreamEvent {

	/**
	 * A frame arrived.
	 *
	 * @param frame the frame
	 */
	record Frame(EngineFrame frame) implements StreamEvent {
	}

	/**
	 * No frame arrived in time. The stream cannot be read any further.
	 */
	record TimedOut() implements StreamEvent {
	}

	/**
	 * The stream failed, ended or contained a malformed line. No frame follows.
	 *
	 * @param reason short technical reason
	 */
	record Broken(String reason) implements StreamEvent {
	}

}
