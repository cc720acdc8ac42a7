package org.medlardrum.standins.internal.engine;

import java.util.List;
import java.util.UUID;

import org.medlardrum.standins.EngineSettings;
import org.medlardrum.standins.internal.http.JsonHttpClient;

/**
 * Shared state and components of one engine.
 */
public final class EngineCore {

	private final EngineSettings settings;

	private final EngineFaults faults = new EngineFaults();

	private final Ledger ledger = new Ledger();

	private final KvCache kvCache = new KvCache();

	private final ActiveRequests activeRequests = new ActiveRequests();

	private final JsonHttpClient httpClient = new JsonHttpClient();

	private final PrefixCache prefixCache;

	private final EngineState state;

	private final Runnable crash;

	private volatile StepScheduler scheduler;

	/**
	 * Creates the components of an engine.
	 * @param settings settings of the engine
	 * @param crash action that crashes the engine
	 */
	public EngineCore(EngineSettings settings, Runnable crash) {
		this.settings = settings;
		this.crash = crash;
		this.scheduler = new StepScheduler(settings.slots());
		long seed = settings.id().hashCode();
		this.prefixCache = new PrefixCache(settings.cachePrefixes(), settings.cacheEventDelayMs(),
				settings.cacheEventLossShare(), seed);
		this.state = new EngineState(settings.model(), settings.version(), settings.adapters(), settings.role(),
				newBootId());
	}

	/**
	 * Simulates a restart of the process: cancels all active requests, clears the caches
	 * and the queue of steps, and loads the model, the adapters and the role of the
	 * settings again. The ledger and the injected faults are kept.
	 */
	public void reset() {
		// The boot identifier changes before the requests are cancelled, so that a
		// cancelled request detects the crash by comparing boot identifiers.
		this.state.bootId(newBootId());
		this.activeRequests.cancelAll();
		this.scheduler = new StepScheduler(this.settings.slots());
		this.prefixCache.clear();
		this.kvCache.clear();
		this.state.model(this.settings.model(), this.settings.version());
		this.state.adapters(List.copyOf(this.settings.adapters()));
		this.state.role(this.settings.role());
	}

	EngineSettings settings() {
		return this.settings;
	}

	/**
	 * Returns the injected faults of the engine.
	 * @return the faults
	 */
	public EngineFaults faults() {
		return this.faults;
	}

	/**
	 * Returns the record of executions.
	 * @return the ledger
	 */
	public Ledger ledger() {
		return this.ledger;
	}

	KvCache kvCache() {
		return this.kvCache;
	}

	ActiveRequests activeRequests() {
		return this.activeRequests;
	}

	/**
	 * Returns the HTTP client for calls to the next stage.
	 * @return the client
	 */
	public JsonHttpClient httpClient() {
		return this.httpClient;
	}

	/**
	 * Returns the cache of prompt prefixes.
	 * @return the cache
	 */
	public PrefixCache prefixCache() {
		return this.prefixCache;
	}

	/**
	 * Returns the loaded model, the adapters, the role and the boot identifier.
	 * @return the state
	 */
	public EngineState state() {
		return this.state;
	}

	StepScheduler scheduler() {
		return this.scheduler;
	}

	/**
	 * Cancels the active attempts of a request.
	 * @param request identifier of the request
	 * @param attempt number of the attempt, 0 for all attempts
	 * @return number of cancelled attempts
	 */
	public int cancel(String request, int attempt) {
		return this.activeRequests.cancel(request, attempt);
	}

	void crash() {
		this.crash.run();
	}

	private static String newBootId() {
		return UUID.randomUUID().toString();
	}

}
