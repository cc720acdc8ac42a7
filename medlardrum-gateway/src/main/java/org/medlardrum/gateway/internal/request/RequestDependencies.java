package org.medlardrum.gateway.internal.request;

import java.util.random.RandomGenerator;

import io.servicetalk.transport.api.IoExecutor;
import org.medlardrum.decisions.memory.ByteBudget;
import org.medlardrum.gateway.GatewaySettings;
import org.medlardrum.gateway.RequestDialect;
import org.medlardrum.gateway.internal.admission.ServiceAdmissions;
import org.medlardrum.gateway.internal.http.GatewayMetrics;
import org.medlardrum.gateway.internal.load.LoadTable;
import org.medlardrum.gateway.internal.load.ServerLimits;
import org.medlardrum.gateway.internal.load.ZoneLinks;
import org.medlardrum.gateway.internal.log.DecisionLog;
import org.medlardrum.gateway.internal.quarantine.RequestQuarantine;
import org.medlardrum.gateway.internal.relay.RelayTargets;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.gateway.internal.state.ServerPermits;
import org.medlardrum.transport.internal.HttpClientPool;

/**
 * Settings, state and shared objects that handling a request needs.
 *
 * @param settings settings of the gateway
 * @param state routes and backend servers
 * @param loads outstanding load at the backend servers
 * @param retries this host's shares of the retry budgets
 * @param executor the event loop
 * @param clients pool of HTTP clients by address, on the event loop
 * @param dialect names and formats of headers and documents
 * @param log log of decisions
 * @param metrics the metrics
 * @param admissions requests that wait for capacity
 * @param quarantine requests that crash servers
 * @param limits limits of requests that servers name
 * @param zoneLinks this host's shares of the links between zones
 * @param permits servers that accept requests of this host
 * @param reports status reports of engines
 * @param timerLateness lateness of the timers of requests
 * @param relayTargets hosts to which requests are passed on
 * @param budget bytes that the host holds for responses
 * @param random source of random numbers
 */
public record RequestDependencies(GatewaySettings settings, GatewayState state, LoadTable loads, RetryBudgets retries,
		IoExecutor executor, HttpClientPool clients, RequestDialect dialect, DecisionLog log, GatewayMetrics metrics,
		ServiceAdmissions admissions, RequestQuarantine quarantine, ServerLimits limits, ZoneLinks zoneLinks,
		ServerPermits permits, EngineReports reports, TimerLateness timerLateness, RelayTargets relayTargets,
		ByteBudget budget, RandomGenerator random) {

	/**
	 * Returns the current time on the monotonic clock.
	 * @return the time in milliseconds
	 */
	public long nowMs() {
		return this.state.clock().monotonicMs();
	}

}
