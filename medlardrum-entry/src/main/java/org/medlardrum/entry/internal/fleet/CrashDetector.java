package org.medlardrum.entry.internal.fleet;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.medlardrum.state.EngineReport;
import org.medlardrum.state.EngineState;
import org.medlardrum.state.Outcome;
import org.medlardrum.transport.EngineClient;
import org.tinylog.Logger;

/**
 * Distinguishes a crash of an engine from other failures. An engine has crashed if its
 * stream broke and a probe finds that it refuses connections or has another boot
 * identifier. Thread-safe.
 */
public final class CrashDetector {

	private final EngineClient client;

	private final CrashListener listener;

	private final long probeTimeoutMs;

	private final Map<String, String> crashedBootIds = new ConcurrentHashMap<>();

	private final Map<String, Map<Long, String>> attemptsByServer = new ConcurrentHashMap<>();

	/**
	 * Creates a detector.
	 * @param client client of the engines
	 * @param listener receives the crashes
	 * @param probeTimeoutMs timeout of a probe of an engine, in milliseconds
	 */
	public CrashDetector(EngineClient client, CrashListener listener, long probeTimeoutMs) {
		this.client = client;
		this.listener = listener;
		this.probeTimeoutMs = probeTimeoutMs;
	}

	/**
	 * Records that an attempt runs on an engine.
	 * @param server the engine
	 * @param attempt identifier of the attempt, from {@link Fleet#attemptStarted}
	 * @param fingerprint fingerprint of the request
	 */
	public void attemptStarted(String server, long attempt, String fingerprint) {
		this.attemptsByServer.computeIfAbsent(server, (id) -> new ConcurrentHashMap<>()).put(attempt, fingerprint);
	}

	/**
	 * Records the end of an attempt, after {@link #probe} when it failed.
	 * @param server the engine
	 * @param attempt identifier of the attempt, from {@link Fleet#attemptStarted}
	 */
	public void attemptEnded(String server, long attempt) {
		Map<Long, String> running = this.attemptsByServer.get(server);
		if (running != null) {
			running.remove(attempt);
		}
	}

	/**
	 * Probes an engine. If it has crashed, reports the requests that ran on it to the
	 * listener, once per boot identifier.
	 * @param engine state of the engine when the attempt started, may be {@code null}
	 * @return health of the engine
	 */
	public Health probe(EngineState engine) {
		if (engine == null || engine.report() == null) {
			return Health.UNRESPONSIVE;
		}
		String bootId = String.valueOf(engine.report().bootId());
		Health health = switch (this.client.fetchReport(engine.server().address(), this.probeTimeoutMs)) {
			case Outcome.NotRun<EngineReport> refused -> Health.CRASHED;
			case Outcome.MayHaveRun<EngineReport> unclear -> Health.UNRESPONSIVE;
			case Outcome.Completed<EngineReport> report ->
				(bootId.equals(report.value().bootId())) ? Health.ALIVE : Health.CRASHED;
		};
		String server = engine.server().id();
		if (health == Health.CRASHED && !bootId.equals(this.crashedBootIds.put(server, bootId))) {
			Set<String> fingerprints = new HashSet<>(this.attemptsByServer.getOrDefault(server, Map.of()).values());
			Logger.warn("chain: engine {} crashed while running {} different requests", server, fingerprints.size());
			this.listener.onCrash(server, bootId, fingerprints);
		}
		return health;
	}

	/**
	 * Health of an engine after a failed attempt.
	 */
	public enum Health {

		/** The engine responds and has not restarted. */
		ALIVE,

		/** The engine is unresponsive, or no report of it is recorded. */
		UNRESPONSIVE,

		/** The engine refuses connections or has restarted. */
		CRASHED

	}

	/**
	 * Receives each crash once.
	 */
	@FunctionalInterface
	public interface CrashListener {

		/**
		 * Called when an engine has crashed.
		 * @param server id of the engine
		 * @param bootId boot identifier before the crash
		 * @param fingerprints fingerprints of the requests that ran on it
		 */
		void onCrash(String server, String bootId, Set<String> fingerprints);

	}

}
