package org.medlardrum.gateway.internal.call;

import java.util.List;

/**
 * Event that a request in progress reacts to.
 */
public sealed interface Signal {

	/**
	 * The status and headers of a response arrived.
	 *
	 * @param call the call
	 * @param status status of the response
	 * @param headers alternating names and values
	 */
	record Header(BackendCall call, int status, List<String> headers) implements Signal {
	}

	/**
	 * A part of a response body arrived.
	 *
	 * @param call the call
	 * @param bytes the part
	 */
	record Data(BackendCall call, byte[] bytes) implements Signal {
	}

	/**
	 * A response is complete.
	 *
	 * @param call the call
	 */
	record End(BackendCall call) implements Signal {
	}

	/**
	 * A call failed.
	 *
	 * @param call the call
	 * @param requestNotSent whether no byte of the request reached the server
	 * @param reason description of the failure
	 */
	record Failed(BackendCall call, boolean requestNotSent, String reason) implements Signal {
	}

	/**
	 * The connection of a call is ready, and its request is being written.
	 *
	 * @param call the call
	 */
	record Writing(BackendCall call) implements Signal {
	}

	/**
	 * A call was withheld before the first byte of the request.
	 *
	 * @param call the call
	 */
	record Withheld(BackendCall call) implements Signal {
	}

	/**
	 * The caller closed its connection.
	 */
	record CallerDisconnected() implements Signal {
	}

	/**
	 * Result of probing an engine for the cause of a stalled call.
	 *
	 * @param call the stalled call
	 * @param faultyAddress address of the server that causes the stall, empty if unknown
	 */
	record StallDiagnosis(BackendCall call, String faultyAddress) implements Signal {
	}

}
