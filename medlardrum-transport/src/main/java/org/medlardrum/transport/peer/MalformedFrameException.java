package org.medlardrum.transport.peer;

import java.io.IOException;

/**
 * A frame that breaks the peers' protocol.
 */
final class MalformedFrameException extends IOException {

	private static final long serialVersionUID = 1L;

	MalformedFrameException(String message) {
		super(message);
	}

}
