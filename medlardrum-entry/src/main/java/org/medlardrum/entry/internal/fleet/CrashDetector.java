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
 * Tells a crash of an engine from other failures: its stream broke, and it refuses
 * connections or has another boot identifier. Safe for use by several threads.
 */
public final class CrashDetector {

	private final EngineClient client;

	private final CrashListener listener;

	private final long probeTimeoutMs;

	private final Map<String, String> crashedBootIds = new ConcurrentHashMap<>();

	private final Map<String, Map<Long, String>> runningByServer = new ConcurrentHashMap<>();

	/**
	 * Creates a detector.
	 * @param client client of the engines
	 * @param listener receives the crashes
	 * @param probeTimeoutMs longest probe of an engine
	 */
	public CrashDetector(EngineClient client, CrashListener listener, long probeTimeoutMs) {
		this.client = client;
		this.listener = listener;
		this.probeTimeoutMs = probeTimeoutMs;
	}

	/**
	 * Records that an attempt runs on an engine.
	 * @param server the engine
	 * @param attempt number of the attempt
	 * @param fingerprint fingerprint of the request
	 */
	public void attemptStarted(String server, long attempt, String fingerprint) {
		this.runningByServer.computeIfAbsent(server, (id) -> new ConcurrentHashMap<>()).put(attempt, fingerprint);
	}

	/**
	 * Records the end of an attempt, after {@link #probe} when it failed.
	 * @param server the engine
	 * @param attempt number of the attempt
	 */
	public void attemptEnded(String server, long attempt) {
		Map<Long, String> running = this.runningByServer.get(server);
		if (running != null) {
			running.remove(attempt);
		}
	}

	/**
	 * Asks an engine for its load, and reports the requests that ran on it when it has
	 * crashed.
	 * @param engine the engine as known when the attempt started, may be {@code null}
	 * @return the state of the engine
	 */
	public Health probe(EngineState engine) {
		if (engine == null || engine.report() == null) {
			return Health.SILENT;
		}
		String bootId = String.valueOf(engine.report().bootId());
		Health health = switch (this.client.fetchReport(engine.server().address(), this.probeTimeoutMs)) {
			case Outcome.NotRun<EngineReport> refused -> Health.CRASHED;
			case Outcome.MayHaveRun<EngineReport> unclear -> Health.SILENT;
			case Outcome.Completed<EngineReport> report ->
				(bootId.equals(report.value().bootId())) ? Health.ALIVE : Health.CRASHED;
		};
		String server = engine.server().id();
		if (health == Health.CRASHED && !bootId.equals(this.crashedBootIds.put(server, bootId))) {
			Set<String> fingerprints = new HashSet<>(this.runningByServer.getOrDefault(server, Map.of()).values());
			Logger.warn("chain: engine {} crashed with {} different requests", server, fingerprints.size());
			this.listener.crashed(server, bootId, fingerprints);
		}
		return health;
	}

	/**
	 * State of an engine after a failed attempt.
	 */
	public enum Health {

		/** The engine answers and has not restarted. */
		ALIVE,

		/** The engine does not answer in time. */
		SILENT,

		/** The engine refuses connections or has restarted. */
		CRASHED

	}

	/**
	 * Receives crashes, each once.
	 */
	@FunctionalInterface
	public interface CrashListener {

		/**
		 * An engine crashed.
		 * @param server the engine
		 * @param bootId boot identifier before the crash
		 * @param fingerprints requests that ran on it
		 */
		void crashed(String server, String bootId, Set<String> fingerprints);

	}

}
