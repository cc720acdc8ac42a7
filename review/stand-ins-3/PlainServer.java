import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * A server of a plain service. It writes its entry about every heartbeat, runs as
 * many requests at once as it has slots, refuses those for which it has no place, and
 * echoes the identifier of the request.
 */
final class PlainServer {

	private static final long HEARTBEAT_MS = 1_200;

	/**
	 * What the server does with a request that it runs.
	 */
	interface Behaviour {

		/**
		 * Runs a request.
		 * @param server the server
		 * @param request the request
		 * @param out the connection, for a behaviour that answers by itself
		 * @return the body of the response with status 200, {@code null} for none
		 * @throws Exception if the request cannot be run
		 */
		byte[] run(PlainServer server, Http.Message request, OutputStream out) throws Exception;

	}

	private final StoreStandIn store;

	private final Log log;

	private final String service;

	private final String name;

	private final int port;

	private final int slots;

	private final int queue;

	private final int workMs;

	private final Consumer<String> arrivalListener;

	private final Behaviour behaviour;

	/** Places of the requests that run. */
	private final Semaphore places;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	/** Requests that run or wait for a place. */
	private final AtomicInteger accepted = new AtomicInteger();

	private int starts;

	private long bornMs;

	private long sequence;

	private volatile String id;

	/** {@code null} while the server is down. */
	private volatile ServerSocket socket;

	PlainServer(StoreStandIn store, Log log, String name, int slots, Behaviour behaviour) throws IOException {
		this(store, log, "ledger", name, slots, 3 * slots, 0, (requestId) -> {
		}, behaviour);
	}

	/**
	 * Starts a server.
	 * @param store the store
	 * @param log the record
	 * @param service name of its service
	 * @param name name, from which the identifiers of its starts are made
	 * @param slots requests that it runs at once
	 * @param queue requests that wait for a place
	 * @param workMs time of a request, in addition to that of its behaviour
	 * @param arrivalListener receives the identifier of each request that arrives
	 * @param behaviour what it does with a request
	 * @throws IOException if it cannot listen
	 */
	PlainServer(StoreStandIn store, Log log, String service, String name, int slots, int queue, int workMs,
			Consumer<String> arrivalListener, Behaviour behaviour) throws IOException {
		this.service = service;
		this.queue = queue;
		this.workMs = workMs;
		this.arrivalListener = arrivalListener;
		this.places = new Semaphore(slots, true);
		this.store = store;
		this.log = log;
		this.name = name;
		this.slots = slots;
		this.behaviour = behaviour;
		try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			this.port = free.getLocalPort();
		}
		start();
		Thread.ofPlatform().daemon().start(this::beat);
	}

	String address() {
		return "127.0.0.1:" + this.port;
	}

	String id() {
		return this.id;
	}

	synchronized void start() throws IOException {
		ServerSocket listening = new ServerSocket();
		listening.setReuseAddress(true);
		listening.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), this.port), 128);
		this.starts++;
		this.id = this.name + "-" + this.starts;
		this.bornMs = System.currentTimeMillis();
		this.sequence = 0;
		this.socket = listening;
		Thread.ofPlatform().daemon().start(() -> accept(listening));
		register();
	}

	private synchronized void register() {
		if (this.socket != null) {
			this.sequence++;
			this.store.write(Names.get("prefix.servers") + this.id,
					Names.template("server.json", "service", this.service, "address", "127.0.0.1:" + this.port, "slots",
							this.slots, "state", "ready", "sequence", this.sequence, "born", this.bornMs));
		}
	}

	private void beat() {
		while (true) {
			try {
				Thread.sleep(HEARTBEAT_MS);
			}
			catch (InterruptedException ex) {
				return;
			}
			register();
		}
	}

	/**
	 * Crashes: all connections are reset, nobody listens, and nothing is written. The
	 * entry is removed after three heartbeats. The server starts again as a new instance.
	 * @param downMs time until the start
	 */
	void crash(long downMs) {
		String crashed;
		synchronized (this) {
			if (this.socket == null) {
				return;
			}
			crashed = this.id;
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				// It does not listen in either case.
			}
			this.socket = null;
			this.connections.forEach(Http::reset);
			this.connections.clear();
		}
		this.log.line("server " + crashed + " crashed");
		Thread.ofVirtual().start(() -> {
			try {
				Thread.sleep(downMs);
				start();
				this.log.line("server " + this.id + " started");
				Thread.sleep(Math.max(0, 3 * HEARTBEAT_MS - downMs));
				this.store.remove(Names.get("prefix.servers") + crashed);
			}
			catch (IOException | InterruptedException ex) {
				this.log.line("server " + this.name + " did not start: " + ex);
			}
		});
	}

	private void accept(ServerSocket listening) {
		while (true) {
			try {
				Socket connection = listening.accept();
				this.connections.add(connection);
				Thread.ofVirtual().start(() -> serve(connection));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
			for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
				answer(connection, request);
			}
		}
		catch (Exception ex) {
			// The host has closed the connection, or the server has crashed.
		}
		finally {
			this.connections.remove(connection);
		}
	}

	private void answer(Socket connection, Http.Message request) throws Exception {
		String requestId = String.valueOf(request.header(Names.get("header.requestId")));
		String expected = request.header(Names.get("header.expectedInstance"));
		if (expected != null && !expected.equals(this.id)) {
			Http.write(connection.getOutputStream(), "HTTP/1.1 421 Misdirected Request", new byte[0],
					Names.get("header.requestId"), requestId, Names.get("header.instance"), this.id);
			return;
		}
		this.arrivalListener.accept(requestId);
		if (this.accepted.incrementAndGet() > this.slots + this.queue) {
			this.accepted.decrementAndGet();
			Http.write(connection.getOutputStream(), "HTTP/1.1 503 Service Unavailable", new byte[0],
					Names.get("header.requestId"), requestId, Names.get("header.notExecuted"), "1");
			return;
		}
		this.places.acquire();
		try {
			Thread.sleep(this.workMs);
			byte[] body = this.behaviour.run(this, request, connection.getOutputStream());
			if (body != null) {
				Http.write(connection.getOutputStream(), "HTTP/1.1 200 OK", body, Names.get("header.requestId"),
						requestId, Names.get("header.proof"), "stamp." + this.id + "." + requestId);
			}
		}
		finally {
			this.places.release();
			this.accepted.decrementAndGet();
		}
	}

}
