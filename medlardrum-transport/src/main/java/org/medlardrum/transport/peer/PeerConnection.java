package org.medlardrum.transport.peer;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.LongAdder;

import org.apache.thrift.TException;
import org.medlardrum.peer.gen.PeerRequest;
import org.medlardrum.peer.gen.PeerResponse;
import org.tinylog.Logger;

/**
 * Server side of one connection. Requests are answered one after another. An
 * {@code error} response states that the request was not processed; a failure in the
 * handler closes the connection instead, because the request may have had an effect.
 */
final class PeerConnection {

	/** A claim has some 300 B; 1,000 connections take 4 MB. */
	private static final int BUFFER_BYTES = 2_048;

	private final Socket socket;

	private final int idleTimeoutMs;

	private final PeerHandler handler;

	private final LongAdder requests;

	private final LongAdder malformed;

	PeerConnection(Socket socket, int idleTimeoutMs, PeerHandler handler, LongAdder requests, LongAdder malformed) {
		this.socket = socket;
		this.idleTimeoutMs = idleTimeoutMs;
		this.handler = handler;
		this.requests = requests;
		this.malformed = malformed;
	}

	void run() {
		try (Socket connected = this.socket) {
			DataInputStream in = new DataInputStream(new BufferedInputStream(connected.getInputStream(), BUFFER_BYTES));
			DataOutputStream out = new DataOutputStream(
					new BufferedOutputStream(connected.getOutputStream(), BUFFER_BYTES));
			byte[] frame = nextFrame(in);
			while (frame != null) {
				PeerCodec.writeFrame(out, PeerCodec.encode(answer(decode(frame))));
				this.requests.increment();
				frame = nextFrame(in);
			}
		}
		catch (MalformedFrameException ex) {
			this.malformed.increment();
		}
		catch (IOException ex) {
			Logger.debug("peer: connection ended: {}", ex.getMessage());
		}
		catch (TException | RuntimeException ex) {
			Logger.error(ex, "peer: request failed");
		}
	}

	private byte[] nextFrame(DataInputStream in) throws IOException {
		this.socket.setSoTimeout(this.idleTimeoutMs);
		return PeerCodec.readFrame(this.socket, in);
	}

	void refuse(String reason) {
		try (Socket connected = this.socket) {
			DataOutputStream out = new DataOutputStream(connected.getOutputStream());
			PeerCodec.writeFrame(out, PeerCodec.encode(PeerResponse.error(reason)));
		}
		catch (IOException | TException ex) {
			Logger.debug("peer: refusal not sent: {}", ex.getMessage());
		}
	}

	private static PeerRequest decode(byte[] frame) throws MalformedFrameException {
		PeerRequest request = new PeerRequest();
		try {
			PeerCodec.decode(request, frame, 0, frame.length);
		}
		catch (TException | RuntimeException ex) {
			throw new MalformedFrameException("request does not parse");
		}
		if (!PeerCodec.isComplete(request)) {
			throw new MalformedFrameException("request is of no known kind or lacks a field");
		}
		return request;
	}

	private PeerResponse answer(PeerRequest request) {
		return switch (request.getSetField()) {
			case PULL_CONFIG_AFTER_VERSION ->
				PeerResponse.configPull(this.handler.pullConfig(request.getPullConfigAfterVersion()));
			case PULL_HOSTS_AFTER_REVISION -> PeerResponse.hostsJson(this.handler.hostListJson());
			case CLAIM -> PeerResponse.claim(this.handler.claim(request.getClaim()));
			case RECORD_OUTCOME -> PeerResponse.outcomeRecorded(this.handler.recordOutcome(request.getRecordOutcome()));
		};
	}

}
