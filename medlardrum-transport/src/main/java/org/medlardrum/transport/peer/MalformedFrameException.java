package org.medlardrum.transport.peer;

import java.io.IOException;

/**
 * Thrown if a frame violates the peer protocol.
 */
final class MalformedFrameException extends IOException {

	private static final long serialVersionUID = 1L;

	MalformedFrameException(String message) {
		super(message);
	}

}
