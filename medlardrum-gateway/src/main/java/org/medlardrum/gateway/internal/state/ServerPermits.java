package org.medlardrum.gateway.internal.state;

import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;

import org.medlardrum.decisions.routing.LayerDenials;
import org.medlardrum.decisions.routing.RequestedPause;
import org.medlardrum.decisions.routing.SendDenial;
import org.medlardrum.decisions.routing.ServerPauses;
import org.medlardrum.gateway.BackendVerdict;
import org.medlardrum.gateway.ServerNotice;
import org.medlardrum.gateway.internal.log.DecisionLog;
import org.medlardrum.state.routing.ServerStart;
import org.medlardrum.state.routing.ServiceInstance;

/**
 * Decides whether this host may send requests to a server. Combines the registry with
 * what the servers say in their responses. All paths ask it: first attempts, repeats,
 * hedges, continuations of streams, parts of chains, probes and orders.
 */
public final class ServerPermits {

	private static final String PART = "permits";

	private static final String NO_REQUEST = "none";

	private static final int MISDIRECTED_REQUEST = 421;

	private static final int SERVICE_UNAVAILABLE = 503;

	private final GatewayState state;

	private final DecisionLog log;

	/** Pauses of servers to which this host sent a request that was refused. */
	private final ServerPauses pauses = new ServerPauses();

	/** Pauses of servers that caused the refusal of a chain's first server. */
	private final ServerPauses partPauses = new ServerPauses();

	private final LayerDenials layerDenials = new LayerDenials();

	/**
	 * Creates permits for all servers.
	 * @param state state of the host
	 * @param log log of decisions
	 */
	public ServerPermits(GatewayState state, DecisionLog log) {
		this.state = state;
		this.log = log;
		state.tellDenials(() -> this.layerDenials.toTell((id) -> state.fleet().instance(id), nowMs()));
	}

	/**
	 * Decides whether a request may be sent to a server.
	 * @param server identifier of the server
	 * @return the reason if it must not be sent, otherwise empty
	 */
	public Optional<SendDenial> denial(String server) {
		long nowMs = nowMs();
		boolean accepts = this.state.fleet().instance(server).filter((now) -> !now.draining()).isPresent();
		if (!accepts) {
			return Optional.of(SendDenial.SERVER_LEAVING);
		}
		return (this.pauses.mayReceive(server, nowMs) && this.partPauses.mayReceive(server, nowMs)) ? Optional.empty()
				: Optional.of(SendDenial.SERVER_PAUSED);
	}

	/**
	 * Returns whether a request may be sent to a server.
	 * @param server identifier of the server
	 * @return {@code false} if the server is leaving or in a pause
	 */
	public boolean mayReceive(String server) {
		return denial(server).isEmpty();
	}

	/**
	 * Returns whether a request that was counted for a server may still be written.
	 * @param server identifier of the server
	 * @return {@code false} if the server is leaving or in a pause since then
	 */
	public boolean mayWrite(String server) {
		return !isPaused(server) && this.state.fleet().instance(server).filter((now) -> !now.draining()).isPresent();
	}

	/**
	 * Returns whether a server may be part of a chain after the first server.
	 * @param server identifier of the server
	 * @return {@code false} while it wants no requests or does not hold the layers of its
	 * report
	 */
	public boolean mayBePart(String server) {
		long nowMs = nowMs();
		return !this.partPauses.isPaused(server, nowMs) && this.state.fleet()
			.instance(server)
			.filter((report) -> this.layerDenials.isDenied(report, nowMs))
			.isEmpty();
	}

	/**
	 * Records that a chain was refused because of one of its engines. If the engine does
	 * not hold its layers, it is not used until it writes a newer report.
	 * @param report report of the engine for which the chain was chosen
	 * @param requestId identifier of the request
	 * @param status status of the response
	 */
	public void recordRefusedChain(ServiceInstance report, String requestId, int status) {
		if (status == MISDIRECTED_REQUEST && this.layerDenials.record(report, nowMs())) {
			this.log.event(PART, "layers-denied", "server", report.id(), "startedAtMs", report.startedAtMs(), "report",
					report.reportNumber(), "forMs", LayerDenials.DENIAL_MS, "id", requestId);
		}
	}

	/**
	 * Returns the number of engines that are not used because they did not hold the
	 * layers of their reports.
	 * @return the number of denials in the last {@link LayerDenials#DENIAL_MS}
	 */
	public int deniedEngines() {
		return this.layerDenials.count(nowMs());
	}

	/**
	 * Returns whether a server wants no requests of this host now.
	 * @param server identifier of the server
	 * @return {@code true} until the end of its pause
	 */
	public boolean isPaused(String server) {
		long nowMs = nowMs();
		return this.pauses.isPaused(server, nowMs) || this.partPauses.isPaused(server, nowMs);
	}

	/**
	 * Returns when the first of some servers accepts requests again.
	 * @param servers the servers
	 * @return the shortest remaining time of their pauses in milliseconds, empty if none
	 * of them is in a pause
	 */
	public OptionalLong shortestPauseMs(Collection<String> servers) {
		long nowMs = nowMs();
		return servers.stream()
			.mapToLong((server) -> Math.max(this.pauses.remainingMs(server, nowMs),
					this.partPauses.remainingMs(server, nowMs)))
			.filter((remainingMs) -> remainingMs > 0)
			.min();
	}

	/**
	 * Records that a request is being sent to a server.
	 * @param server identifier of the server
	 * @return an action that records its end
	 */
	public Runnable recordSend(String server) {
		return (this.pauses.recordSend(server)) ? () -> this.pauses.recordEnd(server) : () -> {
		};
	}

	/**
	 * Records what a server said about itself in a response.
	 * @param start start of the server to which the request was sent
	 * @param requestId identifier of the request
	 * @param status status of the response
	 * @param verdict result of the check of the response
	 * @param notice what the server said
	 */
	public void recordResponse(ServerStart start, String requestId, int status, BackendVerdict verdict,
			ServerNotice notice) {
		Optional<String> cause = verdict.faultyAddress()
			.flatMap((address) -> this.state.fleet().atAddress(address))
			.map(ServiceInstance::id);
		recordPause(start.server(), requestId, status, cause, notice.pause());
		// Another server may answer at the address, and a refusal of a chain may repeat
		// the words of another server.
		boolean aboutItself = verdict.belongsToRequest() && status != MISDIRECTED_REQUEST
				&& cause.map(start.server()::equals).orElse(true);
		if (notice.leaving() && aboutItself) {
			this.state.recordLeaving(start, requestId);
		}
	}

	/**
	 * Records what a server said about itself in response to a call that was no caller's
	 * request.
	 * @param address {@code ip:port} of the server
	 * @param notice what the server said
	 */
	public void recordNotice(String address, ServerNotice notice) {
		this.state.fleet().atAddress(address).ifPresent((server) -> recordNotice(server, notice));
	}

	private void recordNotice(ServiceInstance server, ServerNotice notice) {
		if (notice.pause().durationMs() > 0) {
			beginPause(server.id(), NO_REQUEST, Optional.empty(), notice.pause().durationMs(), "");
		}
		if (notice.leaving()) {
			this.state.recordLeaving(ServerStart.of(server), NO_REQUEST);
		}
	}

	private void recordPause(String server, String requestId, int status, Optional<String> cause,
			RequestedPause pause) {
		long nowMs = nowMs();
		switch (pause) {
			case RequestedPause.None none -> {
				if (status != SERVICE_UNAVAILABLE) {
					this.pauses.recordAnswer(server, nowMs);
				}
			}
			case RequestedPause.Pause asked -> beginPause(server, requestId, cause, asked.lengthMs(), "");
			case RequestedPause.Shortened asked -> beginPause(server, requestId, cause, asked.lengthMs(), asked.text());
			case RequestedPause.Unreadable asked ->
				this.log.event(PART, "pause-ignored", "server", server, "id", requestId, "text", asked.text());
		}
	}

	private void beginPause(String server, String requestId, Optional<String> cause, long lengthMs, String shortened) {
		long nowMs = nowMs();
		boolean known = this.pauses.isPaused(server, nowMs);
		this.pauses.recordPause(server, lengthMs, nowMs);
		cause.ifPresent((id) -> this.partPauses.recordPause(id, lengthMs, nowMs));
		if (!known) {
			this.log.event(PART, "paused", "server", server, "cause", cause.orElse(server), "id", requestId, "forMs",
					lengthMs, "shortenedFrom", shortened);
		}
	}

	private long nowMs() {
		return this.state.clock().monotonicMs();
	}

}
