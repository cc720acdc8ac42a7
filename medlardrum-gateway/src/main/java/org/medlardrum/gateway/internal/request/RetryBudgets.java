package org.medlardrum.gateway.internal.request;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import org.medlardrum.decisions.routing.HostRetryBudget;
import org.medlardrum.gateway.GatewaySettings;

/**
 * This host's shares of the retry budgets of all services.
 */
public final class RetryBudgets {

	/**
	 * Fraction of the common allowance that is divided among the hosts. The rest covers
	 * hosts that have not discovered each other yet.
	 */
	private static final double ALLOCATED_FRACTION = 0.9;

	/**
	 * Assumed number of hosts until more are discovered: the size of the smaller of the
	 * users' two fleets.
	 */
	private static final int MIN_ASSUMED_HOSTS = 15;

	private final GatewaySettings settings;

	private final IntSupplier peerCount;

	private final Map<String, HostRetryBudget> shares = new HashMap<>();

	/**
	 * Creates the retry budgets.
	 * @param settings settings with the ratio, window and allowance of all hosts together
	 * @param peerCount supplies the number of other hosts
	 */
	public RetryBudgets(GatewaySettings settings, IntSupplier peerCount) {
		this.settings = settings;
		this.peerCount = peerCount;
	}

	/**
	 * Records the first attempt of a request.
	 * @param service name of the service
	 * @param nowMs current time on the monotonic clock
	 */
	public synchronized void onFirstAttempt(String service, long nowMs) {
		share(service).onFirstAttempt(nowMs);
	}

	/**
	 * Takes one retry from the budget of a service.
	 * @param service name of the service
	 * @param nowMs current time on the monotonic clock
	 * @return {@code false} if this host's share is exhausted
	 */
	public synchronized boolean tryRetry(String service, long nowMs) {
		return share(service).tryRetry(hostAllowance(), nowMs);
	}

	/**
	 * Returns whether the budget of a service has a retry left, without taking it.
	 * @param service name of the service
	 * @param nowMs current time on the monotonic clock
	 * @return {@code false} if this host's share is exhausted
	 */
	public synchronized boolean hasRetry(String service, long nowMs) {
		return share(service).hasRetry(hostAllowance(), nowMs);
	}

	private double hostAllowance() {
		int hosts = Math.max(MIN_ASSUMED_HOSTS, this.peerCount.getAsInt() + 1);
		return this.settings.retryAllowance() * ALLOCATED_FRACTION / hosts;
	}

	private HostRetryBudget share(String service) {
		return this.shares.computeIfAbsent(service,
				(name) -> new HostRetryBudget(this.settings.retryRatio(), this.settings.retryWindowMs()));
	}

}
