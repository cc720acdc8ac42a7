package org.medlardrum.gateway.internal.request;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.medlardrum.gateway.internal.call.BackendCall;
import org.medlardrum.gateway.internal.call.BackendRequest;
import org.medlardrum.gateway.internal.call.Signal;
import org.medlardrum.gateway.internal.quarantine.RunningAttempt;

/**
 * Tells a server that crashed from one that lost a single answer: nobody listens at the
 * address of a crashed one. The probe connects and sends nothing. A host that loses its
 * links finds nobody at any server, so a host that uses other servers too waits for the
 * other probes of that moment before it takes one for a crash.
 */
final class CrashProbe {

	/**
	 * Time for the probes of other calls that broke at the same moment. Refused
	 * connections fail within a round trip.
	 */
	private static final long CONFIRM_MS = 20;

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
		// Before the request that broke is sent to another server.
		boolean usesOtherServers = dependencies.quarantine().usesOtherServers(address);
		BackendCall.send(dependencies.clients(),
				new BackendRequest(address, "GET", "/", () -> false, Optional::empty, new byte[0]), (signal) -> {
					if (signal instanceof Signal.Failed failed && failed.requestNotSent()) {
						long startedAtMs = running.get()
							.stream()
							.mapToLong(RunningAttempt::startedAtMs)
							.min()
							.orElse(Long.MAX_VALUE);
						dependencies.state().recordVanished(address, startedAtMs);
						if (usesOtherServers) {
							dependencies.executor()
								.schedule(() -> judge(dependencies, address, running.get()), CONFIRM_MS,
										TimeUnit.MILLISECONDS);
						}
						else {
							judge(dependencies, address, running.get());
						}
					}
					else {
						dependencies.quarantine().endProbe(address);
					}
				});
	}

	private static void judge(RequestDependencies dependencies, String address, List<RunningAttempt> running) {
		if (dependencies.state().mayHaveLostLink(address)) {
			dependencies.log()
				.event("quarantine", "not-blamed", "address", address, "reason", "this host may have lost its links",
						"unreachable", dependencies.state().unreachableServers().size());
			dependencies.quarantine().endProbe(address);
		}
		else {
			dependencies.quarantine().recordCrash(address, running);
		}
	}

}
