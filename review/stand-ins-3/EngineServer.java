import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An engine that starts without layers, loads those of the last order, and streams the
 * events of its requests. The first engine of a chain answers for all of them, if each
 * holds its part.
 */
final class EngineServer {

	private static final long HEARTBEAT_MS = 1_200;

	/** Time to load all layers before the first request. */
	private static final long LOAD_MS = 1_400;

	/** Memory that requests have, in tokens times layers. */
	private static final int MEMORY = 548_000;

	/** Mean memory of a request. */
	private static final int REQUEST_MEMORY = 7_000;

	private static final Pattern HOP = Pattern.compile("([0-9.]+:\\d+)=(\\d+)-(\\d+)");

	private static final Map<String, EngineServer> ENGINES = new ConcurrentHashMap<>();

	private final StoreStandIn store;

	private final EventSource events;

	private final String id;

	private final String address;

	private final long bornMs = System.currentTimeMillis();

	private final AtomicInteger running = new AtomicInteger();

	private long beats;

	private int orders;

	private boolean busy;

	private int fromLayer;

	private int toLayer;

	/**
	 * Starts an engine.
	 * @param store the store
	 * @param id its identifier
	 * @param events supplies the events of its requests
	 * @throws IOException if it cannot listen
	 */
	EngineServer(StoreStandIn store, String id, EventSource events) throws IOException {
		this.store = store;
		this.id = id;
		this.events = events;
		ServerSocket listening = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
		this.address = "127.0.0.1:" + listening.getLocalPort();
		ENGINES.put(this.address, this);
		Thread.ofPlatform().daemon().start(() -> accept(listening));
		Thread.ofPlatform().daemon().start(this::beat);
	}

	private void beat() {
		while (true) {
			register();
			try {
				Thread.sleep(HEARTBEAT_MS);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private synchronized void register() {
		this.beats++;
		this.store.write(Names.get("prefix.servers") + this.id, Names.template("engine.json", "address", this.address,
				"from", this.fromLayer, "to", this.toLayer, "sequence", this.beats, "born", this.bornMs));
	}

	private void accept(ServerSocket listening) {
		while (true) {
			try {
				Socket connection = listening.accept();
				connection.setTcpNoDelay(true);
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
				answer(connection.getOutputStream(), request);
			}
		}
		catch (Exception ex) {
			// The host has closed the connection.
		}
	}

	private void answer(OutputStream out, Http.Message request) throws Exception {
		String expected = request.header(Names.get("header.expectedInstance"));
		if (expected != null && !expected.equals(this.id)) {
			Http.write(out, "HTTP/1.1 421 Misdirected Request", new byte[0], Names.get("header.instance"), this.id);
		}
		else if (request.target().equals(Names.get("path.report"))) {
			Http.write(out, "HTTP/1.1 200 OK", report().getBytes(StandardCharsets.UTF_8), "Content-Type",
					"application/json");
		}
		else if (request.target().equals(Names.get("path.order"))) {
			int status = order(new String(request.body(), StandardCharsets.UTF_8));
			Http.write(out, "HTTP/1.1 " + status + " Status", new byte[0]);
		}
		else if (request.method().equals("GET")) {
			Http.write(out, "HTTP/1.1 200 OK", new byte[0], Names.get("header.instance"), this.id);
		}
		else {
			stream(out, request);
		}
	}

	private synchronized String report() {
		return Names.template("engine-report.json", "busy", this.busy, "orders", this.orders, "running",
				this.running.get(), "used", this.running.get() * REQUEST_MEMORY, "memory", MEMORY, "from",
				this.fromLayer, "to", this.toLayer, "born", this.bornMs);
	}

	private synchronized int order(String body) {
		if (this.busy || number(body, "precondition", this.orders) != this.orders) {
			return 409;
		}
		int from = number(body, "from", 0);
		int to = number(body, "target", 0);
		if (from == this.fromLayer && to == this.toLayer) {
			return 200;
		}
		this.orders++;
		this.busy = true;
		Thread.ofVirtual().start(() -> load(from, to));
		return 202;
	}

	private void load(int from, int to) {
		try {
			Thread.sleep(LOAD_MS);
		}
		catch (InterruptedException ex) {
			return;
		}
		synchronized (this) {
			this.fromLayer = from;
			this.toLayer = to;
			this.busy = false;
		}
		register();
	}

	private static int number(String body, String field, int defaultValue) {
		Matcher value = Pattern.compile("\"" + field + "\":(\\d+)").matcher(body);
		return (value.find()) ? Integer.parseInt(value.group(1)) : defaultValue;
	}

	private synchronized boolean holds(int from, int to) {
		return !this.busy && this.fromLayer <= from && to <= this.toLayer;
	}

	private void stream(OutputStream out, Http.Message request) throws Exception {
		Matcher hops = HOP.matcher(String.valueOf(request.header(Names.get("header.chain"))));
		boolean found = false;
		while (hops.find()) {
			found = true;
			EngineServer engine = ENGINES.get(hops.group(1));
			if (engine == null || !engine.holds(Integer.parseInt(hops.group(2)), Integer.parseInt(hops.group(3)))) {
				refuse(out, request, hops.group(1));
				return;
			}
		}
		if (!found) {
			refuse(out, request, this.address);
			return;
		}
		this.running.incrementAndGet();
		try {
			this.events.send(this.id, request, out);
		}
		finally {
			this.running.decrementAndGet();
		}
	}

	private void refuse(OutputStream out, Http.Message request, String faulty) throws IOException {
		Http.write(out, "HTTP/1.1 421 Misdirected Request", new byte[0], Names.get("header.requestId"),
				request.header(Names.get("header.requestId")), Names.get("header.notExecuted"), "1",
				Names.get("header.instance"), this.id, Names.get("header.faulty"), faulty);
	}

}
