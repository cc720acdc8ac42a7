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
 * Client side of one connection to a peer.
 */
final class KeptConnection {

	private final Socket socket;

	private final BufferedInputStream buffered;

	private final DataInputStream in;

	private final DataOutputStream out;

	private final int responseTimeoutMs;

	private long usedAtNs = System.nanoTime();

	KeptConnection(InetSocketAddress address, PeerOptions options) throws IOException {
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
	 * Tells whether the connection can carry another request. A peer that restarted has
	 * closed it; sending into it would end as {@code Unknown}.
	 * @param maxIdleNs longest idle time
	 * @return whether it is recent and still open
	 */
	boolean isUsable(long maxIdleNs) {
		if (System.nanoTime() - this.usedAtNs > maxIdleNs) {
			return false;
		}
		try {
			this.socket.setSoTimeout(1);
			this.buffered.read();
			// Either the end of the stream or bytes that no request asked for.
			return false;
		}
		catch (SocketTimeoutException ex) {
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	PeerResponse exchange(byte[] content) throws IOException, TException {
		this.socket.setSoTimeout(this.responseTimeoutMs);
		PeerCodec.writeFrame(this.out, content);
		byte[] frame = PeerCodec.readFrame(this.socket, this.in);
		if (frame == null) {
			throw new EOFException("peer closed the connection");
		}
		PeerResponse response = new PeerResponse();
		PeerCodec.decode(response, frame, 0, frame.length);
		if (response.getSetField() == null) {
			throw new TException("response is of no known kind");
		}
		this.usedAtNs = System.nanoTime();
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
