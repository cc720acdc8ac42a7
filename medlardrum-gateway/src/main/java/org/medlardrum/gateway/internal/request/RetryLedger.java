package org.medlardrum.gateway.internal.request;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import org.medlardrum.decisions.routing.HostRetryBudget;
import org.medlardrum.gateway.GatewaySettings;

/**
 * This host's shares of the retry budgets of all services.
 */
public final class RetryLedger {

	/**
	 * Part of the common allowance that is given out. The rest covers hosts that have not
	 * yet heard of each other.
	 */
	private static final double GIVEN_OUT = 0.9;

	/** Hosts assumed until more are known, the smaller of the users' two fleets. */
	private static final int MIN_HOSTS = 15;

	private final GatewaySettings settings;

	private final IntSupplier peers;

	private final Map<String, HostRetryBudget> shares = new HashMap<>();

	/**
	 * Creates a ledger.
	 * @param settings ratio, window and allowance of all hosts
	 * @param peers number of other hosts
	 */
	public RetryLedger(GatewaySettings settings, IntSupplier peers) {
		this.settings = settings;
		this.peers = peers;
	}

	/**
	 * Records the first attempt of a request.
	 * @param service name of the service
	 * @param nowMs clock reading
	 */
	public synchronized void onFirstAttempt(String service, long nowMs) {
		share(service).onFirstAttempt(nowMs);
	}

	/**
	 * Takes one repeat.
	 * @param service name of the service
	 * @param nowMs clock reading
	 * @return {@code false} when the share is used up
	 */
	public synchronized boolean tryRepeat(String service, long nowMs) {
		int hosts = Math.max(MIN_HOSTS, this.peers.getAsInt() + 1);
		return share(service).tryRetry(this.settings.retryAllowance() * GIVEN_OUT / hosts, nowMs);
	}

	private HostRetryBudget share(String service) {
		return this.shares.computeIfAbsent(service,
				(name) -> new HostRetryBudget(this.settings.retryRatio(), this.settings.retryWindowMs()));
	}

}
