package org.medlardrum.transport;

import org.medlardrum.protocol.engine.EngineFrame;

/**
 * What the next line of an engine's stream brought.
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
	 * No frame arrived in time. The stream is still open.
	 */
	record TimedOut() implements StreamEvent {
	}

	/**
	 * The stream broke, ended or carried a malformed line. No frame follows.
	 *
	 * @param reason short technical reason
	 */
	record Broken(String reason) implements StreamEvent {
	}

}
