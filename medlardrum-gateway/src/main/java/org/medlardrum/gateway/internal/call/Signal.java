package org.medlardrum.gateway.internal.call;

import java.util.List;

/**
 * What happens to a request while its thread waits.
 */
public sealed interface Signal {

	/**
	 * The header of a response arrived.
	 *
	 * @param call the call
	 * @param status status of the response
	 * @param headers names and values in turn
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
	 * @param notSent whether no byte of the request reached the server
	 * @param reason short technical reason
	 */
	record Failed(BackendCall call, boolean notSent, String reason) implements Signal {
	}

	/**
	 * The caller closed its connection.
	 */
	record CallerLeft() implements Signal {
	}

	/**
	 * The answer to the question why a call is silent.
	 *
	 * @param call the call
	 * @param faultyAddress address of the server at fault, empty if none is known to be
	 */
	record Diagnosis(BackendCall call, String faultyAddress) implements Signal {
	}

}
