import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of the platform's store: linearizable keys with revisions, watches and leases. */
final class Store {

	private static final String CALL = Wire.text("/v1/${call}");

	private record Item(String key, String value, long revision, long created, long lease) {

		String json() {
			return "{\"key\":" + Json.quote(this.key) + ",\"value\":\""
					+ Base64.getEncoder().encodeToString(this.value.getBytes(StandardCharsets.UTF_8))
					+ "\",\"revision\":" + this.revision + ",\"created\":" + this.created + ",\"lease\":" + this.lease
					+ "}";
		}

	}

	private record Change(long revision, String key, String json) {
	}

	private final TreeMap<String, Item> items = new TreeMap<>();

	private final List<Change> history = new ArrayList<>();

	private final Map<Long, long[]> leases = new HashMap<>();

	private final Set<Socket> waiting = ConcurrentHashMap.newKeySet();

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	private final ServerSocket server;

	private long revision = 100;

	private long nextLease = 7000;

	/** Time of the last range read that found no items, as a host's read of the revision alone. */
	volatile long emptyReadNs;

	/** Answer 503 to calls from these local addresses; "*" for all. */
	final Set<String> busyFor = ConcurrentHashMap.newKeySet();

	/** Calls from these addresses get no answer. */
	final Set<String> silentFor = ConcurrentHashMap.newKeySet();

	Store() throws Exception {
		this.server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
		Thread.ofVirtual().start(this::acceptLoop);
		Thread.ofPlatform().daemon().start(this::expireLoop);
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
			// The server is closed.
		}
	}

	private void expireLoop() {
		try {
			while (true) {
				Thread.sleep(50);
				synchronized (this) {
					long now = System.nanoTime() / 1_000_000;
					List<Long> ended = this.leases.entrySet()
						.stream()
						.filter((entry) -> entry.getValue()[0] < now)
						.map(Map.Entry::getKey)
						.toList();
					ended.forEach(this::endLease);
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private synchronized void endLease(long lease) {
		this.leases.remove(lease);
		List<String> keys = this.items.values()
			.stream()
			.filter((item) -> item.lease == lease)
			.map(Item::key)
			.toList();
		keys.forEach(this::delete);
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	/** Writes a key; names of the protocol in the value stand as ${key}. */
	synchronized long put(String key, String value) {
		return put(key, Wire.text(value), 0);
	}

	private synchronized long put(String key, String value, long lease) {
		long next = ++this.revision;
		Item old = this.items.get(key);
		Item item = new Item(key, value, next, (old != null) ? old.created : next, lease);
		this.items.put(key, item);
		this.history.add(new Change(next, key, item.json()));
		notifyAll();
		return next;
	}

	synchronized void delete(String key) {
		if (this.items.remove(key) != null) {
			long next = ++this.revision;
			this.history.add(new Change(next, key,
					"{\"key\":" + Json.quote(key) + ",\"revision\":" + next + ",\"tombstone\":true}"));
			notifyAll();
		}
	}

	synchronized List<String> keys(String prefix) {
		return this.items.keySet().stream().filter((key) -> key.startsWith(prefix)).toList();
	}

	/** Closes the connections of all watches that wait now, as the pages allow at any time. */
	int cutWatches() {
		List<Socket> cut = List.copyOf(this.waiting);
		cut.forEach((socket) -> {
			try {
				socket.shutdownOutput();
				socket.close();
			}
			catch (Exception ex) {
				// Already closed.
			}
		});
		return cut.size();
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = Http.buffered(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			while (true) {
				Http.Message call = Http.read(in, false);
				if (call == null) {
					return;
				}
				String[] words = call.first().split(" ");
				String path = words[1].split("\\?")[0];
				Map<String, String> query = query(words[1]);
				String peer = socket.getInetAddress().getHostAddress();
				if (this.silentFor.contains(peer) || this.silentFor.contains("*")) {
					Thread.sleep(60_000);
					return;
				}
				String[] answer = (this.busyFor.contains(peer) || this.busyFor.contains("*"))
						? new String[] { "503", "{}" } : answer(words[0], path, query, call, socket);
				byte[] body = answer[1].getBytes(StandardCharsets.UTF_8);
				out.write(Http.bytes("HTTP/1.1 " + answer[0] + " x\r\nContent-Type: application/json\r\nContent-Length: "
						+ body.length + "\r\n\r\n"));
				out.write(body);
				out.flush();
			}
		}
		catch (Exception ex) {
			// The connection ended.
		}
		finally {
			this.open.remove(socket);
			this.waiting.remove(socket);
		}
	}

	private static Map<String, String> query(String target) {
		Map<String, String> query = new HashMap<>();
		int mark = target.indexOf('?');
		if (mark >= 0) {
			for (String pair : target.substring(mark + 1).split("&")) {
				String[] parts = pair.split("=", 2);
				query.put(parts[0], URLDecoder.decode((parts.length > 1) ? parts[1] : "", StandardCharsets.UTF_8));
			}
		}
		return query;
	}

	private String[] answer(String method, String path, Map<String, String> query, Http.Message call, Socket socket)
			throws Exception {
		if (path.equals(CALL + "key")) {
			synchronized (this) {
				Item item = this.items.get(query.get("key"));
				return (item == null) ? new String[] { "404", "{\"currentRev\":" + this.revision + "}" }
						: new String[] { "200", item.json().replaceFirst("}$", ",\"currentRev\":" + this.revision + "}") };
			}
		}
		if (path.equals(CALL + "range")) {
			synchronized (this) {
				List<String> found = new ArrayList<>();
				boolean truncated = false;
				for (Item item : this.items.tailMap(query.getOrDefault("after", ""), false).values()) {
					if (item.key.startsWith(query.getOrDefault("prefix", ""))) {
						if (found.size() == 500) {
							truncated = true;
							break;
						}
						found.add(item.json());
					}
				}
				if (found.isEmpty()) {
					this.emptyReadNs = System.nanoTime();
				}
				return new String[] { "200", "{\"items\":[" + String.join(",", found) + "],\"truncated\":" + truncated
						+ ",\"currentRev\":" + this.revision + "}" };
			}
		}
		if (path.equals(CALL + "watch")) {
			return watch(query, socket);
		}
		if (path.equals(CALL + "lease")) {
			long ttl = Math.max(1000, (Long) Json.object(call.text()).get("ttlMs"));
			synchronized (this) {
				long lease = ++this.nextLease;
				this.leases.put(lease, new long[] { System.nanoTime() / 1_000_000 + ttl, ttl });
				return new String[] { "200", "{\"lease\":" + lease + ",\"ttlMs\":" + ttl + "}" };
			}
		}
		if (path.startsWith(CALL + "keep/")) {
			synchronized (this) {
				long[] lease = this.leases.get(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
				if (lease == null) {
					return new String[] { "404", "{}" };
				}
				lease[0] = System.nanoTime() / 1_000_000 + lease[1];
				return new String[] { "200", "{\"ttlMs\":" + lease[1] + "}" };
			}
		}
		if (path.startsWith(CALL + "lease-end/")) {
			endLease(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
			return new String[] { "200", "{}" };
		}
		if (path.equals(CALL + "txn")) {
			return transaction(Json.object(call.text()));
		}
		return new String[] { "404", "{}" };
	}

	private synchronized String[] watch(Map<String, String> query, Socket socket) throws InterruptedException {
		String prefix = query.getOrDefault("prefix", "");
		long after = Long.parseLong(query.get("after"));
		long untilMs = System.nanoTime() / 1_000_000 + Long.parseLong(query.get("waitMs"));
		this.waiting.add(socket);
		try {
			while (true) {
				List<String> events = this.history.stream()
					.filter((change) -> change.revision > after && change.key.startsWith(prefix))
					.map(Change::json)
					.toList();
				long leftMs = untilMs - System.nanoTime() / 1_000_000;
				if (!events.isEmpty() || leftMs <= 0) {
					return new String[] { "200",
							"{\"events\":[" + String.join(",", events) + "],\"currentRev\":" + this.revision + "}" };
				}
				wait(leftMs);
			}
		}
		finally {
			this.waiting.remove(socket);
		}
	}

	@SuppressWarnings("unchecked")
	private synchronized String[] transaction(Map<String, Object> call) {
		List<Object> rows = (List<Object>) call.getOrDefault("precondition", List.of());
		for (Object row : rows) {
			Map<String, Object> expected = (Map<String, Object>) row;
			Item item = this.items.get((String) expected.get("key"));
			if (((item != null) ? item.revision : 0) != (Long) expected.get("revision")) {
				return new String[] { "412", "{\"items\":[" + ((item != null) ? item.json() : "") + "]}" };
			}
		}
		List<Object> puts = (List<Object>) call.getOrDefault("puts", List.of());
		for (Object put : puts) {
			Object lease = ((Map<String, Object>) put).get("lease");
			if (lease != null && (Long) lease != 0 && !this.leases.containsKey(lease)) {
				return new String[] { "404", "{}" };
			}
		}
		for (Object put : puts) {
			Map<String, Object> fields = (Map<String, Object>) put;
			Object lease = fields.get("lease");
			put((String) fields.get("key"),
					new String(Base64.getDecoder().decode((String) fields.get("value")), StandardCharsets.UTF_8),
					(lease != null) ? (Long) lease : 0);
		}
		for (Object key : (List<Object>) call.getOrDefault("deleteKeys", List.of())) {
			delete((String) key);
		}
		return new String[] { "200", "{\"revision\":" + this.revision + "}" };
	}

}
