package org.medlardrum.gateway.internal.quarantine;

import org.medlardrum.gateway.internal.request.GatewayRequest;
import org.medlardrum.state.routing.ServerStart;

/**
 * One attempt of a request at a server, as far as it says something about a crash of the
 * server. Confined to the event loop.
 */
public final class RunningAttempt {

	private final ServerStart serverStart;

	private final String address;

	private final GatewayRequest request;

	private final boolean begunBefore;

	private final long startedAtMs;

	private boolean written;

	private boolean begun;

	RunningAttempt(ServerStart serverStart, String address, GatewayRequest request, boolean begunBefore,
			long startedAtMs) {
		this.serverStart = serverStart;
		this.address = address;
		this.request = request;
		this.begunBefore = begunBefore;
		this.startedAtMs = startedAtMs;
	}

	/**
	 * Returns the server of the attempt.
	 * @return the start to which the request was sent, as far as the registry told
	 */
	public ServerStart serverStart() {
		return this.serverStart;
	}

	/**
	 * Returns when the attempt started.
	 * @return the time on the monotonic clock
	 */
	public long startedAtMs() {
		return this.startedAtMs;
	}

	String address() {
		return this.address;
	}

	GatewayRequest request() {
		return this.request;
	}

	/**
	 * Records that the request is being written.
	 */
	public void recordWriting() {
		this.written = true;
	}

	void recordBegun() {
		this.begun = true;
	}

	boolean hasBegun() {
		return this.begun;
	}

	/**
	 * Returns whether the server may have crashed when it began to answer the request.
	 * @return {@code true} if the server has the request and neither it nor a server
	 * before it has begun to answer
	 */
	public boolean mayHaveCrashedServer() {
		return this.written && !this.begun && !this.begunBefore;
	}

}
