import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
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
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's store. Sound: nothing is lost, and every call is answered at once.
 */
final class StoreStandIn {

	private static final int PAGE_ITEMS = 500;

	private final ServerSocket server;

	private final TreeMap<String, Item> items = new TreeMap<>();

	private final List<Event> history = new ArrayList<>();

	private final Map<Long, Lease> leases = new HashMap<>();

	private long revision = 100;

	private long lastLease = 7000;

	StoreStandIn() throws IOException {
		this.server = listen(UnaryOperator.identity());
		Thread.ofPlatform().daemon().start(this::expireLeases);
	}

	/**
	 * Opens another address of the store, for a host whose links to the servers lead
	 * through proxies.
	 * @param addresses returns the address of the host's proxy for that of a server
	 * @return the address
	 * @throws IOException if it cannot listen
	 */
	String addressWithLinks(Map<String, String> addresses) throws IOException {
		ServerSocket view = listen((base64) -> {
			String text = new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
			for (Map.Entry<String, String> address : addresses.entrySet()) {
				text = text.replace('"' + address.getKey() + '"', '"' + address.getValue() + '"');
			}
			return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
		});
		return "127.0.0.1:" + view.getLocalPort();
	}

	private ServerSocket listen(UnaryOperator<String> values) throws IOException {
		ServerSocket listening = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
		Thread.ofPlatform().daemon().start(() -> accept(listening, values));
		return listening;
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	private void accept(ServerSocket listening, UnaryOperator<String> values) {
		while (true) {
			try {
				Socket socket = listening.accept();
				socket.setTcpNoDelay(true);
				Thread.ofVirtual().start(() -> serve(socket, values));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket, UnaryOperator<String> values) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
				Answer answer = answer(call, values);
				Http.write(socket.getOutputStream(), "HTTP/1.1 " + answer.status + " Status",
						answer.body.getBytes(StandardCharsets.UTF_8), "Content-Type", "application/json");
			}
		}
		catch (IOException | InterruptedException ex) {
			// The caller has closed its connection.
		}
	}

	private Answer answer(Http.Message call, UnaryOperator<String> values) throws InterruptedException {
		String[] target = call.target().split("\\?", 2);
		Map<String, String> query = query((target.length > 1) ? target[1] : "");
		String body = new String(call.body(), StandardCharsets.UTF_8);
		String path = target[0];
		if (path.equals(Names.get("path.item"))) {
			return item(query.get("key"));
		}
		if (path.equals(Names.get("path.range"))) {
			return range(query.get("prefix"), query.getOrDefault("after", ""), values);
		}
		if (path.equals(Names.get("path.watch"))) {
			return watch(query.get("prefix"), Long.parseLong(query.get("after")), Long.parseLong(query.get("waitMs")),
					values);
		}
		if (path.equals(Names.get("path.transaction"))) {
			return transaction(body);
		}
		if (path.equals(Names.get("path.lease"))) {
			return lease(body);
		}
		if (path.startsWith(Names.get("path.keep"))) {
			return keep(Long.parseLong(path.substring(Names.get("path.keep").length())));
		}
		return new Answer(404, "{}");
	}

	private static Map<String, String> query(String text) {
		Map<String, String> query = new HashMap<>();
		for (String pair : text.split("&")) {
			int equals = pair.indexOf('=');
			if (equals > 0) {
				query.put(pair.substring(0, equals),
						URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
			}
		}
		return query;
	}

	private synchronized Answer item(String key) {
		Item item = this.items.get(key);
		return (item != null) ? new Answer(200, item.json(key, this.revision, UnaryOperator.identity())) : new Answer(404, "{}");
	}

	private synchronized Answer range(String prefix, String after, UnaryOperator<String> values) {
		List<String> found = new ArrayList<>();
		boolean truncated = false;
		for (Map.Entry<String, Item> entry : this.items.tailMap(after, false).entrySet()) {
			if (entry.getKey().startsWith(prefix)) {
				if (found.size() == PAGE_ITEMS) {
					truncated = true;
					break;
				}
				found.add(entry.getValue().json(entry.getKey(), this.revision, values));
			}
		}
		return new Answer(200, "{\"items\":[" + String.join(",", found) + "],\"truncated\":" + truncated
				+ ",\"currentRev\":" + this.revision + "}");
	}

	private synchronized Answer watch(String prefix, long after, long waitMs, UnaryOperator<String> values)
			throws InterruptedException {
		long endMs = System.nanoTime() / 1_000_000 + waitMs;
		while (true) {
			List<String> found = this.history.stream()
				.filter((event) -> event.revision > after && event.key.startsWith(prefix))
				.map((event) -> event.json(values))
				.toList();
			long leftMs = endMs - System.nanoTime() / 1_000_000;
			if (!found.isEmpty() || leftMs <= 0) {
				return new Answer(200,
						"{\"events\":[" + String.join(",", found) + "],\"currentRev\":" + this.revision + "}");
			}
			wait(leftMs);
		}
	}

	private synchronized Answer transaction(String body) {
		Matcher rows = Pattern.compile("\\{\"key\":\"([^\"]*)\",\"revision\":(\\d+)\\}").matcher(body);
		while (rows.find()) {
			Item item = this.items.get(rows.group(1));
			if (Long.parseLong(rows.group(2)) != ((item != null) ? item.revision : 0)) {
				return new Answer(412, "{\"items\":[]}");
			}
		}
		Matcher puts = Pattern.compile("\\{\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"lease\":(\\d+)\\}")
			.matcher(body);
		while (puts.find()) {
			long lease = Long.parseLong(puts.group(3));
			if (lease != 0 && !this.leases.containsKey(lease)) {
				return new Answer(404, "{}");
			}
			put(puts.group(1), puts.group(2), lease);
		}
		return new Answer(200, "{\"revision\":" + this.revision + "}");
	}

	private synchronized Answer lease(String body) {
		Matcher ttl = Pattern.compile("\"ttlMs\":(\\d+)").matcher(body);
		long ttlMs = (ttl.find()) ? Long.parseLong(ttl.group(1)) : 1_000;
		this.lastLease++;
		this.leases.put(this.lastLease, new Lease(ttlMs, System.nanoTime() / 1_000_000 + ttlMs));
		return new Answer(200, "{\"lease\":" + this.lastLease + ",\"ttlMs\":" + ttlMs + "}");
	}

	private synchronized Answer keep(long id) {
		Lease lease = this.leases.get(id);
		if (lease == null) {
			return new Answer(404, "{}");
		}
		this.leases.put(id, new Lease(lease.ttlMs, System.nanoTime() / 1_000_000 + lease.ttlMs));
		return new Answer(200, "{\"ttlMs\":" + lease.ttlMs + "}");
	}

	private void expireLeases() {
		while (true) {
			try {
				Thread.sleep(50);
			}
			catch (InterruptedException ex) {
				return;
			}
			synchronized (this) {
				long nowMs = System.nanoTime() / 1_000_000;
				this.leases.values().removeIf((lease) -> lease.endMs < nowMs);
				this.items.entrySet()
					.stream()
					.filter((entry) -> entry.getValue().lease != 0 && !this.leases.containsKey(entry.getValue().lease))
					.map(Map.Entry::getKey)
					.toList()
					.forEach(this::remove);
			}
		}
	}

	/**
	 * Writes a document, as the operator or a server does.
	 * @param key the key
	 * @param document the document
	 */
	synchronized void write(String key, String document) {
		put(key, Base64.getEncoder().encodeToString(document.getBytes(StandardCharsets.UTF_8)), 0);
	}

	synchronized void remove(String key) {
		if (this.items.remove(key) != null) {
			this.revision++;
			this.history.add(new Event(key, this.revision, null));
			notifyAll();
		}
	}

	private void put(String key, String base64, long lease) {
		this.revision++;
		Item before = this.items.get(key);
		Item item = new Item(base64, this.revision, (before != null) ? before.created : this.revision, lease);
		this.items.put(key, item);
		this.history.add(new Event(key, this.revision, item));
		notifyAll();
	}

	private record Answer(int status, String body) {
	}

	private record Lease(long ttlMs, long endMs) {
	}

	/**
	 * A change.
	 *
	 * @param key the key
	 * @param revision the revision
	 * @param item the item as it was written, {@code null} for a removal
	 */
	private record Event(String key, long revision, Item item) {

		String json(UnaryOperator<String> values) {
			return (this.item != null) ? this.item.json(this.key, this.revision, values)
					: "{\"key\":\"" + this.key + "\",\"revision\":" + this.revision + ",\"tombstone\":true}";
		}

	}

	private record Item(String value, long revision, long created, long lease) {

		String json(String key, long currentRevision, UnaryOperator<String> values) {
			boolean server = key.startsWith(Names.get("prefix.servers"));
			return "{\"key\":\"" + key + "\",\"value\":\"" + ((server) ? values.apply(this.value) : this.value) + "\",\"revision\":" + this.revision
					+ ",\"created\":" + this.created + ",\"lease\":" + this.lease + ",\"currentRev\":" + currentRevision
					+ "}";
		}

	}

}
