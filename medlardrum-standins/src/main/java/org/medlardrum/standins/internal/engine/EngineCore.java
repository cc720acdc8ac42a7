package org.medlardrum.standins.internal.engine;

import java.util.List;
import java.util.UUID;

import org.medlardrum.standins.EngineSettings;
import org.medlardrum.standins.internal.http.HttpCaller;

/**
 * State that the parts of one engine share.
 */
public final class EngineCore {

	private final EngineSettings settings;

	private final EngineFaults faults = new EngineFaults();

	private final Ledger ledger = new Ledger();

	private final KvCache kvCache = new KvCache();

	private final ActiveRequests activeRequests = new ActiveRequests();

	private final HttpCaller caller = new HttpCaller();

	private final PrefixCache prefixCache;

	private final EngineState state;

	private final Runnable crash;

	private volatile StepScheduler scheduler;

	/**
	 * Creates the state of an engine.
	 * @param settings settings of the engine
	 * @param crash action that crashes the engine
	 */
	public EngineCore(EngineSettings settings, Runnable crash) {
		this.settings = settings;
		this.crash = crash;
		this.scheduler = new StepScheduler(settings.slots());
		this.prefixCache = new PrefixCache(settings.cachePrefixes(), settings.cacheEventDelayMs(),
				settings.cacheEventLossShare(), settings.id().hashCode());
		this.state = new EngineState(settings.model(), settings.version(), settings.adapters(), settings.role(),
				newBootId());
	}

	/**
	 * Ends all running requests and forgets what a process loses when it ends. What the
	 * settings name is loaded again.
	 */
	public void reset() {
		// The boot identifier tells a cancelled request that the engine crashed.
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
	 * Returns the faults.
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
	 * Returns the client for calls to successors.
	 * @return the client
	 */
	public HttpCaller caller() {
		return this.caller;
	}

	/**
	 * Returns the cache of prompt prefixes.
	 * @return the cache
	 */
	public PrefixCache prefixCache() {
		return this.prefixCache;
	}

	/**
	 * Returns what the engine has loaded.
	 * @return the holdings
	 */
	public EngineState state() {
		return this.state;
	}

	StepScheduler scheduler() {
		return this.scheduler;
	}

	/**
	 * Cancels the matching requests.
	 * @param request identifier of the request
	 * @param attempt number of the attempt, 0 for all
	 * @return number of cancelled requests
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
