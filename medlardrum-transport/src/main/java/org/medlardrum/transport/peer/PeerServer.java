package org.medlardrum.transport.peer;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

import org.apache.thrift.TException;
import org.medlardrum.peer.gen.Digest;
import org.tinylog.Logger;

/**
 * Receives digests over UDP and requests over TCP from other entry hosts, both on the
 * same port number. Only peers with an address in the allowed ranges are served.
 * Malformed input is counted and closes its connection.
 *
 * <pre>{@code
 * PeerServer server = new PeerServer(new InetSocketAddress("127.0.0.1", 7400), handler, options);
 * server.start();
 * }</pre>
 */
public final class PeerServer implements AutoCloseable {

	private static final int BACKLOG = 128;

	/** Longest wait for the accepting thread, which wakes up when its port is closed. */
	private static final long CLOSE_TIMEOUT_MS = 1_000;

	/**
	 * Attempts to find a port number that is free for both protocols. The system chooses
	 * a free TCP port without regard to UDP, where another socket may use the number.
	 */
	private static final int MAX_ANY_PORT_ATTEMPTS = 20;

	private final PeerHandler handler;

	private final PeerOptions options;

	private final ServerSocket tcp;

	private final DatagramSocket udp;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private final LongAdder digests = new LongAdder();

	private final LongAdder requests = new LongAdder();

	private final LongAdder malformed = new LongAdder();

	private final LongAdder refusedAddresses = new LongAdder();

	private final LongAdder refusedConnections = new LongAdder();

	private volatile boolean closed;

	private Thread acceptor;

	/**
	 * Binds both ports.
	 * @param address address to listen on; port 0 takes a port that is free for both
	 * protocols
	 * @param handler handler of digests and requests
	 * @param options settings
	 * @throws IOException if the address cannot be bound
	 */
	public PeerServer(InetSocketAddress address, PeerHandler handler, PeerOptions options) throws IOException {
		this.handler = Objects.requireNonNull(handler, "handler");
		this.options = Objects.requireNonNull(options, "options");
		Sockets sockets = bind(address);
		this.tcp = sockets.tcp();
		this.udp = sockets.udp();
	}

	private static Sockets bind(InetSocketAddress address) throws IOException {
		int maxAttempts = (address.getPort() != 0) ? 1 : MAX_ANY_PORT_ATTEMPTS;
		for (int attempt = 1;; attempt++) {
			ServerSocket tcp = new ServerSocket(address.getPort(), BACKLOG, address.getAddress());
			try {
				return new Sockets(tcp,
						new DatagramSocket(new InetSocketAddress(address.getAddress(), tcp.getLocalPort())));
			}
			catch (IOException ex) {
				tcp.close();
				if (attempt == maxAttempts) {
					throw ex;
				}
			}
		}
	}

	/**
	 * Starts receiving.
	 */
	public void start() {
		Thread.ofPlatform().name("peer-udp").daemon().start(this::receiveDatagrams);
		this.acceptor = Thread.ofPlatform().name("peer-tcp").daemon().start(this::acceptConnections);
	}

	/**
	 * Returns the port that the server listens on.
	 * @return the port
	 */
	public int port() {
		return this.tcp.getLocalPort();
	}

	Thread acceptor() {
		return this.acceptor;
	}

	/**
	 * Returns the counters.
	 * @return the counters
	 */
	public PeerStats stats() {
		return new PeerStats(this.digests.sum(), this.requests.sum(), this.malformed.sum(), this.refusedAddresses.sum(),
				this.refusedConnections.sum(), this.connections.size());
	}

	private void receiveDatagrams() {
		byte[] buffer = new byte[PeerOptions.MAX_DATAGRAM_BYTES + 1];
		while (!this.closed) {
			try {
				DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
				this.udp.receive(packet);
				receive(packet);
			}
			catch (IOException ex) {
				if (!this.closed) {
					Logger.warn("gossip: cannot receive a datagram: {}", ex.getMessage());
				}
			}
			catch (RuntimeException ex) {
				Logger.error(ex, "gossip: cannot handle a digest");
			}
		}
	}

	private void receive(DatagramPacket packet) {
		if (!this.options.allows(packet.getAddress())) {
			this.refusedAddresses.increment();
			return;
		}
		Digest digest = new Digest();
		try {
			if (packet.getLength() > PeerOptions.MAX_DATAGRAM_BYTES) {
				throw new TException("datagram exceeds " + PeerOptions.MAX_DATAGRAM_BYTES + " bytes");
			}
			PeerCodec.decode(digest, packet.getData(), packet.getOffset(), packet.getLength());
			if (!digest.isSetHostId()) {
				throw new TException("digest has no host");
			}
		}
		catch (TException | RuntimeException ex) {
			this.malformed.increment();
			return;
		}
		this.digests.increment();
		this.handler.handleDigest(digest);
	}

	private void acceptConnections() {
		while (!this.closed) {
			try {
				handleConnection(this.tcp.accept());
			}
			catch (IOException ex) {
				if (!this.closed) {
					Logger.warn("peer: cannot accept a connection: {}", ex.getMessage());
				}
			}
		}
	}

	void handleConnection(Socket socket) throws IOException {
		if (!this.options.allows(socket.getInetAddress())) {
			this.refusedAddresses.increment();
			socket.close();
			return;
		}
		socket.setTcpNoDelay(true);
		PeerServerConnection connection = new PeerServerConnection(socket, this.options.idleTimeoutMs(), this.handler,
				this.requests, this.malformed);
		if (this.connections.size() >= this.options.maxConnections()) {
			this.refusedConnections.increment();
			connection.refuse("too many connections");
			return;
		}
		this.connections.add(socket);
		if (this.closed) {
			// A pending accept may still return a connection after the port was closed.
			this.connections.remove(socket);
			socket.close();
			return;
		}
		Thread.ofVirtual().name("peer-connection").start(() -> {
			try {
				connection.run();
			}
			finally {
				this.connections.remove(socket);
			}
		});
	}

	/**
	 * Closes the ports and all connections. No connection is established afterwards.
	 */
	@Override
	public void close() {
		this.closed = true;
		this.udp.close();
		closeQuietly(this.tcp);
		awaitAcceptor();
		this.connections.forEach(PeerServer::closeQuietly);
	}

	// The kernel keeps a closed port open until a pending accept has returned.
	private void awaitAcceptor() {
		if (this.acceptor == null) {
			return;
		}
		try {
			this.acceptor.join(CLOSE_TIMEOUT_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void closeQuietly(AutoCloseable closeable) {
		try {
			closeable.close();
		}
		catch (Exception ex) {
			Logger.debug("peer: close failed: {}", ex.getMessage());
		}
	}

	/**
	 * Sockets of both protocols on the same port number.
	 *
	 * @param tcp socket for requests
	 * @param udp socket for digests
	 */
	private record Sockets(ServerSocket tcp, DatagramSocket udp) {

	}

}
