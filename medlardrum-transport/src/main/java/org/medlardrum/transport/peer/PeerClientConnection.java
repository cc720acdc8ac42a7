package org.medlardrum.transport.peer;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;

import org.apache.thrift.TException;
import org.medlardrum.peer.gen.PeerResponse;
import org.tinylog.Logger;

/**
 * Client side of one connection to a peer, reused for several requests.
 */
final class PeerClientConnection {

	private final Socket socket;

	private final BufferedInputStream buffered;

	private final DataInputStream in;

	private final DataOutputStream out;

	private final int responseTimeoutMs;

	private long lastUsedNs = System.nanoTime();

	PeerClientConnection(InetSocketAddress address, PeerOptions options) throws IOException {
		this.responseTimeoutMs = options.responseTimeoutMs();
		this.socket = new Socket();
		try {
			this.socket.connect(address, options.connectTimeoutMs());
			this.socket.setTcpNoDelay(true);
			this.buffered = new BufferedInputStream(this.socket.getInputStream());
			this.in = new DataInputStream(this.buffered);
			this.out = new DataOutputStream(new BufferedOutputStream(this.socket.getOutputStream()));
		}
		catch (IOException ex) {
			close();
			throw ex;
		}
	}

	/**
	 * Returns whether the connection can be used for another request. A restarted peer
	 * has closed it, and a request sent on it would end as {@code Unknown}.
	 * @param maxIdleNs longest idle time
	 * @return whether the connection was used recently and is still open
	 */
	boolean isUsable(long maxIdleNs) {
		if (System.nanoTime() - this.lastUsedNs > maxIdleNs) {
			return false;
		}
		try {
			this.socket.setSoTimeout(1);
			this.buffered.read();
			// Either the stream has ended or the peer sent bytes without a request.
			return false;
		}
		catch (SocketTimeoutException ex) {
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	PeerResponse exchange(byte[] encodedRequest) throws IOException, TException {
		this.socket.setSoTimeout(this.responseTimeoutMs);
		PeerCodec.writeFrame(this.out, encodedRequest);
		byte[] frame = PeerCodec.readFrame(this.socket, this.in);
		if (frame == null) {
			throw new EOFException("peer closed the connection");
		}
		PeerResponse response = new PeerResponse();
		PeerCodec.decode(response, frame, 0, frame.length);
		if (response.getSetField() == null) {
			throw new TException("response has an unknown type");
		}
		this.lastUsedNs = System.nanoTime();
		return response;
	}

	void close() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			Logger.debug("peer: close failed: {}", ex.getMessage());
		}
	}

}
