package org.medlardrum.gateway.internal.request;

import java.util.List;
import java.util.Optional;

import org.medlardrum.gateway.internal.call.BackendCall;
import org.medlardrum.gateway.internal.call.BackendRequest;
import org.medlardrum.gateway.internal.call.Signal;
import org.medlardrum.gateway.internal.quarantine.RunningAttempt;

/**
 * Tells a server that crashed from one that lost a single answer: nobody listens at the
 * address of a crashed one. The probe connects and sends nothing.
 */
final class CrashProbe {

	private CrashProbe() {
	}

	/**
	 * Probes a server whose call broke, and records a crash if it is gone.
	 * @param dependencies settings, state and shared objects
	 * @param address address of the server
	 */
	static void probe(RequestDependencies dependencies, String address) {
		Optional<List<RunningAttempt>> running = dependencies.quarantine().tryBeginProbe(address);
		if (running.isEmpty()) {
			return;
		}
		BackendCall.send(dependencies.clients(),
				new BackendRequest(address, "GET", "/", () -> false, Optional::empty, new byte[0]), (signal) -> {
					if (signal instanceof Signal.Failed failed && failed.requestNotSent()) {
						dependencies.quarantine().recordCrash(address, running.get());
					}
					else {
						dependencies.quarantine().endProbe(address);
					}
				});
	}

}
