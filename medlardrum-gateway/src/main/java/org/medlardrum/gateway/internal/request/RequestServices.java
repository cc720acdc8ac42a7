package org.medlardrum.gateway.internal.request;

import java.util.random.RandomGenerator;

import io.servicetalk.transport.api.IoExecutor;
import org.medlardrum.gateway.GatewaySettings;
import org.medlardrum.gateway.RequestDialect;
import org.medlardrum.gateway.internal.http.GatewayMetrics;
import org.medlardrum.gateway.internal.load.LoadTable;
import org.medlardrum.gateway.internal.log.DecisionLog;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.transport.internal.HttpClientPool;

/**
 * What all requests share.
 *
 * @param settings settings of the gateway
 * @param state routes and backend servers
 * @param loads work at the backend servers
 * @param retries shares of the retry budgets
 * @param executor the event loop
 * @param clients clients by address, on the event loop
 * @param dialect names of headers and documents
 * @param log the log
 * @param metrics the metrics
 * @param random random source
 */
public record RequestServices(GatewaySettings settings, GatewayState state, LoadTable loads, RetryLedger retries,
		IoExecutor executor, HttpClientPool clients, RequestDialect dialect, DecisionLog log, GatewayMetrics metrics,
		RandomGenerator random) {

	/**
	 * Reads the steady clock.
	 * @return the reading, in milliseconds
	 */
	public long nowMs() {
		return this.state.clock().monotonicMs();
	}

}
