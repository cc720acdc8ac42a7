import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a worker of a plain service, with its entry in the store. */
class Worker {

	/** Answers a request; returns the header lines and the body, or null to close without an answer. */
	interface Behaviour {

		/** @return status and body, null for no answer */
		Object[] run(Worker worker, Http.Message request) throws Exception;

	}

	final String id;

	final String zone;

	final String service;

	private final Store store;

	private final Record record;

	private volatile ServerSocket server;

	private volatile long born = System.currentTimeMillis();

	private final AtomicInteger running = new AtomicInteger();

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	private final Behaviour behaviour;

	private volatile boolean registered = true;

	volatile boolean leaving;

	private int sequence;

	final int slots;

	Worker(String id, String service, String zone, int slots, Store store, Record record, Behaviour behaviour)
			throws Exception {
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.slots = slots;
		this.store = store;
		this.record = record;
		this.behaviour = behaviour;
		this.server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
		Thread.ofVirtual().start(this::acceptLoop);
		beat();
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	/** Writes the entry. A beat that changes nothing but the sequence leaves the entry as it is, so none follows. */
	private synchronized void beat() {
		if (this.registered) {
			this.store.put("servers/" + this.id,
					("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
							+ "\"state\":\"%s\",\"${cold}\":0,\"sequence\":%d,\"born\":%d}")
						.formatted(this.service, address(), this.zone, this.slots, "ready", ++this.sequence,
								this.born));
		}
	}

	/** Leaves without reporting that it drains: its entry is removed, and it goes on serving. */
	synchronized void leave() {
		this.registered = false;
		this.leaving = true;
		this.store.delete("servers/" + this.id);
	}

	/** Ends: refuses connections. */
	void end() throws Exception {
		this.server.close();
		for (Socket socket : this.open) {
			socket.close();
		}
	}

	/** Crashes, and starts again after a while with the same id and address. */
	void crash(long backAfterMs) throws Exception {
		int port = this.server.getLocalPort();
		end();
		Thread.ofVirtual().start(() -> {
			try {
				Thread.sleep(backAfterMs);
				ServerSocket next = new ServerSocket();
				next.setReuseAddress(true);
				next.bind(new java.net.InetSocketAddress("127.0.0.1", port), 200);
				this.server = next;
				this.born = System.currentTimeMillis();
				Thread.ofVirtual().start(this::acceptLoop);
				beat();
				this.record.line("worker %s is back", this.id);
			}
			catch (Exception ex) {
				this.record.line("worker %s could not start again: %s", this.id, ex);
			}
		});
	}

	private void acceptLoop() {
		ServerSocket accepting = this.server;
		try {
			while (true) {
				Socket socket = accepting.accept();
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
			while (true) {
				Http.Message request = Http.read(in, false);
				if (request == null || !request.complete()) {
					return;
				}
				String path = request.first().split(" ")[1];
				String common = "Instance-Id: " + this.id + "\r\nServer-Load: " + this.running.get() + ",0," + this.slots
						+ "\r\n" + ((this.leaving) ? "${leaving}: 1\r\nConnection: close\r\n" : "");
				if (path.equals("/health")) {
					out.write(Http.bytes("HTTP/1.1 200 OK\r\n" + common + "Content-Length: 0\r\n\r\n"));
					out.flush();
					continue;
				}
				String attempt = request.header("attempt-id");
				String expected = request.header("expected-instance");
				if (!expected.isEmpty() && !expected.equals(this.id)) {
					this.record.line("worker %s 421 %s expected %s", this.id, attempt, expected);
					out.write(Http.bytes("HTTP/1.1 421 x\r\n" + common + "${requestId}: " + attempt
							+ "\r\n${notExecuted}: 1\r\nContent-Length: 0\r\n\r\n"));
					out.flush();
					continue;
				}
				this.running.incrementAndGet();
				Object[] answer;
				try {
					this.record.line("worker %s run %s %s tenant=%s bytes=%d deadline=%s", this.id, attempt,
							request.first(), request.header("tenant"), request.body().length,
							request.header("deadline-milliseconds"));
					answer = this.behaviour.run(this, request);
				}
				finally {
					this.running.decrementAndGet();
				}
				if (answer == null) {
					return;
				}
				byte[] body = (byte[]) answer[1];
				String extra = (answer.length > 2) ? (String) answer[2] : "";
				out.write(Http.bytes("HTTP/1.1 " + answer[0] + " x\r\n" + common + "${requestId}: " + attempt
						+ "\r\n${stamp}: " + this.id + "." + attempt + "\r\n" + extra + "Content-Length: "
						+ body.length + "\r\n\r\n"));
				out.write(body);
				out.flush();
				this.record.line("worker %s answered %s %s", this.id, attempt, answer[0]);
			}
		}
		catch (Exception ex) {
			// The connection ended.
		}
		finally {
			this.open.remove(socket);
		}
	}

}
