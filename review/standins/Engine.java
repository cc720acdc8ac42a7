import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of a model worker that reports its state and takes orders to hold layers. */
final class Engine {

	final String id;

	final String kind;

	private final String service;

	private final String zone;

	private final double megabytes;

	private final double layerMb;

	private final Store store;

	private final Record record;

	private final ServerSocket server;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	private final long born = System.currentTimeMillis();

	private long from;

	private long target;

	private long acceptedOrders;

	private boolean busy;

	private long beats;

	private volatile boolean ended;

	/** Layers of the first order that exceeded the memory; 0 for none. */
	volatile long exceededBy;

	/** Starts the worker at a port, 0 for any. */
	Engine(String id, String service, String zone, String kind, double megabytes, double layerMb, int port, Store store,
			Record record) throws Exception {
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.kind = kind;
		this.megabytes = megabytes;
		this.layerMb = layerMb;
		this.store = store;
		this.record = record;
		this.server = new ServerSocket();
		this.server.setReuseAddress(true);
		this.server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
		record.line("worker %s of %s (%s, %.0f MB) starts at %s", id, service, kind, megabytes, address());
		Thread.ofVirtual().start(this::acceptLoop);
		beat();
	}

	int port() {
		return this.server.getLocalPort();
	}

	String address() {
		return "127.0.0.1:" + port();
	}

	synchronized long layers() {
		return this.target - this.from;
	}

	private String layersJson() {
		return (this.target > this.from)
				? ",\"layers\":{\"from\":" + this.from + ",\"target\":" + this.target + ",\"version\":1}" : "";
	}

	private synchronized void beat() {
		if (!this.ended) {
			this.store.put("servers/" + this.id,
					("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":64,"
							+ "\"state\":\"ready\",\"${cold}\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m-%s\","
							+ "\"version\":1,\"adapters\":[]}],\"kind\":\"%s\",\"sequence\":%d,\"born\":%d%s}")
						.formatted(this.service, address(), this.zone, this.service, this.kind, ++this.beats, this.born,
								layersJson()));
		}
	}

	/** Crashes for good: refuses connections; its entry is removed after three heartbeats of silence. */
	void crashForGood() throws Exception {
		end();
		Thread.sleep(3 * 1200);
		this.store.delete("servers/" + this.id);
		this.record.line("store removed servers/%s after three heartbeats", this.id);
	}

	private void end() throws Exception {
		synchronized (this) {
			this.ended = true;
		}
		this.server.close();
		for (Socket socket : this.open) {
			socket.close();
		}
		this.record.line("worker %s has ended", this.id);
	}

	private void acceptLoop() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				socket.setTcpNoDelay(true);
				this.open.add(socket);
				Thread.ofVirtual().start(() -> serve(socket));
			}
		}
		catch (Exception ex) {
			// The worker has ended.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = Http.buffered(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			for (Http.Message call = Http.read(in, false); call != null; call = Http.read(in, false)) {
				String path = call.first().split(" ")[1];
				int status = 404;
				String body = "{}";
				if (path.equals("/v1/report")) {
					status = 200;
					body = report();
				}
				else if (path.equals("/v1/order")) {
					status = order(call);
				}
				if (status == 0) {
					end();
					return;
				}
				out.write(Http.bytes("HTTP/1.1 " + status + " x\r\nInstance-Id: " + this.id
						+ "\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
				out.flush();
			}
		}
		catch (Exception ex) {
			// The connection ended.
		}
		finally {
			this.open.remove(socket);
		}
	}

	private synchronized String report() {
		return "{\"stage\":\"both\",\"models\":[{\"name\":\"m-" + this.service
				+ "\",\"version\":1,\"adapters\":[]}],\"busy\":" + this.busy + ",\"sequence\":" + this.acceptedOrders
				+ ",\"queuedRequests\":0,\"runningRequests\":0,\"kvCacheUsed\":0,\"kvCacheTotal\":90000,\"handles\":0,"
				+ "\"kind\":\"" + this.kind + "\"" + layersJson() + "}";
	}

	/** Returns the status of the answer, 0 for a crash. */
	private synchronized int order(Http.Message call) {
		Map<String, Object> order = Json.object(call.text());
		this.record.line("worker %s of %s (%s, %.0f MB) gets the order %s", this.id, this.service, this.kind,
				this.megabytes, call.text());
		if (!"place".equals(order.get("operation"))) {
			return 400;
		}
		if (order.containsKey("precondition") && (Long) order.get("precondition") != this.acceptedOrders) {
			return 409;
		}
		long newFrom = (Long) order.get("from");
		long newTarget = (Long) order.get("target");
		if ((newTarget - newFrom) * this.layerMb > this.megabytes) {
			this.exceededBy = newTarget - newFrom;
			this.record.line("broken: worker %s is ordered to hold %d layers of %.0f MB with %.0f MB, and crashes",
					this.id, newTarget - newFrom, this.layerMb, this.megabytes);
			return 0;
		}
		this.acceptedOrders++;
		this.busy = true;
		Thread.ofVirtual().start(() -> {
			try {
				Thread.sleep(400);
			}
			catch (InterruptedException ex) {
				return;
			}
			synchronized (this) {
				this.from = newFrom;
				this.target = newTarget;
				this.busy = false;
			}
			beat();
		});
		return 202;
	}

}
