package org.medlardrum.gateway.internal.load;

import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;

import org.medlardrum.gateway.internal.log.DecisionLog;

/**
 * Limits of requests that servers name for all entry hosts together.
 */
public final class ServerLimits {

	private final DecisionLog log;

	private final Map<String, Double> limitPerSByServer = new ConcurrentHashMap<>();

	/**
	 * Creates a table without limits.
	 * @param log the log
	 */
	public ServerLimits(DecisionLog log) {
		this.log = log;
	}

	/**
	 * Records what an answer of a server says about its limit.
	 * @param serverId identifier of the server instance
	 * @param limitPerS requests per second, empty if the answer names no limit
	 */
	public void recordAnswer(String serverId, OptionalDouble limitPerS) {
		Double before = (limitPerS.isPresent()) ? this.limitPerSByServer.put(serverId, limitPerS.getAsDouble())
				: this.limitPerSByServer.remove(serverId);
		if (!Double.valueOf(limitPerS.orElse(0)).equals((before != null) ? before : 0.0)) {
			this.log.event("limit", (limitPerS.isPresent()) ? "named" : "lifted", "server", serverId, "limitPerS",
					limitPerS.orElse(0));
		}
	}

}
