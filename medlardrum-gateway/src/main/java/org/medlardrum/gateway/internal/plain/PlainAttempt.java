package org.medlardrum.gateway.internal.plain;

import java.io.ByteArrayOutputStream;
import java.util.List;

import org.medlardrum.gateway.BackendVerdict;
import org.medlardrum.gateway.internal.call.BackendCall;
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

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final BackendCall call;

	private int status;

	private List<String> headers = List.of();

	private BackendVerdict verdict;

	PlainAttempt(ServiceInstance server, boolean relayed, Reservation reservation, BackendCall call) {
		this.server = server;
		this.relayed = relayed;
		this.reservation = reservation;
		this.call = call;
	}

	void setHeader(int headerStatus, List<String> headerFields, BackendVerdict headerVerdict) {
		this.status = headerStatus;
		this.headers = headerFields;
		this.verdict = headerVerdict;
	}

	boolean hasHeader() {
		return this.verdict != null;
	}

	void addToBody(byte[] bytes) {
		this.body.writeBytes(bytes);
		this.call.requestMore();
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

	byte[] body() {
		return this.body.toByteArray();
	}

	int bodySizeBytes() {
		return this.body.size();
	}

	@Override
	public void close() {
		this.reservation.close();
		this.call.close();
	}

}
