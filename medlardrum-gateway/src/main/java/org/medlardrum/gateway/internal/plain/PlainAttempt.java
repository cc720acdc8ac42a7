package org.medlardrum.gateway.internal.plain;

import java.util.List;

import org.medlardrum.gateway.BackendVerdict;
import org.medlardrum.gateway.internal.call.BackendCall;
import org.medlardrum.gateway.internal.call.ReceivedBody;
import org.medlardrum.gateway.internal.load.Reservation;
import org.medlardrum.state.routing.ServiceInstance;

/**
 * One attempt at a server of a plain service: the call, its reservation and the response
 * received so far. Confined to the event loop of the request.
 */
final class PlainAttempt implements AutoCloseable {

	private final ServiceInstance server;

	private final boolean relayed;

	private final Reservation reservation;

	private final BackendCall call;

	private final ReceivedBody body;

	private int status;

	private List<String> headers = List.of();

	private BackendVerdict verdict;

	private boolean waiting;

	PlainAttempt(ServiceInstance server, boolean relayed, Reservation reservation, BackendCall call,
			ReceivedBody body) {
		this.server = server;
		this.relayed = relayed;
		this.reservation = reservation;
		this.call = call;
		this.body = body;
	}

	void setHeader(int headerStatus, List<String> headerFields, BackendVerdict headerVerdict) {
		this.status = headerStatus;
		this.headers = headerFields;
		this.verdict = headerVerdict;
	}

	boolean hasHeader() {
		return this.verdict != null;
	}

	/**
	 * Reads on, at once or when the host has room for the bytes.
	 * @return whether the response has to wait
	 */
	boolean readOn() {
		this.waiting = !this.body.mayGrow();
		if (this.waiting) {
			this.body.whenMayGrow(() -> {
				this.waiting = false;
				this.call.requestMore();
			});
		}
		else {
			this.call.requestMore();
		}
		return this.waiting;
	}

	/**
	 * Returns whether this host, not the server, delays the response.
	 * @return {@code true} while there is no room for its bytes
	 */
	boolean isWaiting() {
		return this.waiting;
	}

	/**
	 * Returns whether the request was passed on to another host, which stands for the
	 * server.
	 * @return {@code true} if this host did not call the server itself
	 */
	boolean isRelayed() {
		return this.relayed;
	}

	ServiceInstance server() {
		return this.server;
	}

	BackendCall call() {
		return this.call;
	}

	int status() {
		return this.status;
	}

	List<String> headers() {
		return this.headers;
	}

	BackendVerdict verdict() {
		return this.verdict;
	}

	ReceivedBody body() {
		return this.body;
	}

	/**
	 * Ends the call, and keeps the response that was received.
	 */
	void closeCall() {
		this.reservation.close();
		this.call.close();
	}

	@Override
	public void close() {
		closeCall();
		this.body.close();
	}

}
