import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins of the platform's store, the workers and the callers, and the start of entry
 * hosts by the command of the deploy file. All addresses are loopback addresses.
 */
final class Lab implements AutoCloseable {

	static final String KEY = "n2ctnfzs989anu6wsjnb";

	static final String TENANT = "hule930";

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	final long startedNs = System.nanoTime();

	final Store store;

	/** Address of the store in the settings of the hosts. */
	String storeAddress;

	final List<EntryHost> hosts = new ArrayList<>();

	private final PrintWriter record;

	private final Path directory;

	private final List<AutoCloseable> opened = new ArrayList<>();

	Lab(Path caseDirectory) throws IOException {
		Runtime.getRuntime().addShutdownHook(new Thread(() -> this.hosts.forEach(EntryHost::destroy)));
		this.record = new PrintWriter(Files.newBufferedWriter(caseDirectory.resolve("record.txt")), true);
		this.directory = Files.createTempDirectory("review-2-");
		this.store = new Store(this);
		this.storeAddress = this.store.address();
		note("trouble=" + this.trouble);
	}

	/** A case; returns 1 if the rule was broken, 0 if it held, 2 if it could not run. */
	interface Case {

		int run(Lab lab) throws Exception;

	}

	static int status(String caseDirectory, Case play) {
		try (Lab lab = new Lab(Path.of(caseDirectory))) {
			try {
				int status = play.run(lab);
				lab.note("status " + status);
				return status;
			}
			catch (Throwable ex) {
				lab.note("could not run: " + ex);
				return 2;
			}
		}
		catch (Exception ex) {
			ex.printStackTrace();
			return 2;
		}
	}

	synchronized void note(String line) {
		long ms = (System.nanoTime() - this.startedNs) / 1_000_000;
		this.record.println(String.format(Locale.ROOT, "%6d ms  %s", ms, line));
	}

	long nowMs() {
		return (System.nanoTime() - this.startedNs) / 1_000_000;
	}

	static void sleep(long ms) {
		try {
			TimeUnit.MILLISECONDS.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** Returns the first of some free ports below those that the kernel assigns itself. */
	static int freePorts(String ip, int count) throws IOException {
		for (int attempt = 0; attempt < 200; attempt++) {
			int first = ThreadLocalRandom.current().nextInt(15_000, 30_000);
			boolean free = true;
			for (int port = first; free && port < first + count; port++) {
				try (ServerSocket socket = new ServerSocket()) {
					socket.bind(new InetSocketAddress(ip, port));
				}
				catch (IOException ex) {
					free = false;
				}
			}
			if (free) {
				return first;
			}
		}
		throw new IOException("no free ports at " + ip);
	}

	EntryHost startHost(String name, String ip, String zone) throws IOException {
		EntryHost host = new EntryHost(this, name, ip, zone);
		this.hosts.add(host);
		host.start();
		return host;
	}

	Worker startWorker(String ip, Worker.Behaviour behaviour) throws IOException {
		Worker worker = new Worker(ip, behaviour);
		this.opened.add(worker);
		return worker;
	}

	Proxy startStoreProxy() throws IOException {
		Proxy proxy = new Proxy("127.0.0.1", this.store.address());
		this.opened.add(proxy);
		this.storeAddress = proxy.address();
		return proxy;
	}

	@Override
	public void close() throws Exception {
		for (EntryHost host : this.hosts) {
			host.kill();
		}
		for (AutoCloseable resource : this.opened) {
			resource.close();
		}
		this.store.close();
		try (var files = Files.walk(this.directory)) {
			files.sorted((a, b) -> b.compareTo(a)).forEach((path) -> path.toFile().delete());
		}
		this.record.close();
	}

	/** Forwards connections; those that are open can be silenced for good. */
	static final class Proxy implements AutoCloseable {

		private final ServerSocket listener = new ServerSocket();

		private final String targetIp;

		private final int targetPort;

		private final List<Link> links = new ArrayList<>();

		private boolean silenced;

		/** Runs after the first answer on a connection that was opened after the silence. */
		private volatile Consumer<String> firstAnswer = (target) -> {
		};

		Proxy(String ip, String target) throws IOException {
			this.targetIp = target.split(":")[0];
			this.targetPort = Integer.parseInt(target.split(":")[1]);
			this.listener.bind(new InetSocketAddress(ip, 0), 256);
			Thread.ofPlatform().daemon().start(this::acceptAll);
		}

		String address() {
			return this.listener.getInetAddress().getHostAddress() + ":" + this.listener.getLocalPort();
		}

		private void acceptAll() {
			while (!this.listener.isClosed()) {
				try {
					Socket near = this.listener.accept();
					Socket far = new Socket(this.targetIp, this.targetPort);
					near.setTcpNoDelay(true);
					far.setTcpNoDelay(true);
					Link link = new Link(near, far);
					synchronized (this.links) {
						this.links.add(link);
						link.reportsAnswer = this.silenced;
					}
					Thread.ofPlatform().daemon().start(() -> link.copy(near, far));
					Thread.ofPlatform().daemon().start(() -> link.copy(far, near));
				}
				catch (IOException ex) {
					return;
				}
			}
		}

		/** Silences the connections that are open now; new ones work. */
		int silence() {
			synchronized (this.links) {
				this.links.removeIf((link) -> link.near.isClosed());
				this.links.forEach((link) -> link.silent = true);
				this.silenced = true;
				return this.links.size();
			}
		}

		@Override
		public void close() throws IOException {
			this.listener.close();
			synchronized (this.links) {
				for (Link link : this.links) {
					link.near.close();
					link.far.close();
				}
			}
		}

		void onFirstAnswer(Consumer<String> action) {
			this.firstAnswer = action;
		}

		private final class Link {

			private final Socket near;

			private final Socket far;

			private volatile boolean reportsAnswer;

			private volatile String target = "";

			private volatile boolean silent;

			Link(Socket near, Socket far) {
				this.near = near;
				this.far = far;
			}

			private void copy(Socket from, Socket to) {
				byte[] bytes = new byte[65_536];
				try {
					for (int size = from.getInputStream().read(bytes); size >= 0; size = from.getInputStream().read(bytes)) {
						if (this.silent) {
							continue;
						}
						if (from == this.near) {
							this.target = new String(bytes, 0, Math.min(size, 200), StandardCharsets.ISO_8859_1).split("\r\n")[0];
						}
						to.getOutputStream().write(bytes, 0, size);
						if (from == this.far && this.reportsAnswer) {
							this.reportsAnswer = false;
							Proxy.this.firstAnswer.accept(this.target);
						}
					}
				}
				catch (IOException ex) {
					// Ends below.
				}
				if (this.silent) {
					return;
				}
				try {
					this.near.close();
					this.far.close();
				}
				catch (IOException ex) {
					// Closed already.
				}
			}

		}

	}

	/** A process of the system, started by the command of the deploy file. */
	static final class EntryHost {

		final String name;

		final String ip;

		final int callerPort;

		final int readyPort;

		private final Lab lab;

		private final String zone;

		private final Path settings;

		private final Path log;

		private final int controlPort;

		private final int internalPort;

		private final int metricsPort;

		Process process;

		EntryHost(Lab lab, String name, String ip, String zone) throws IOException {
			this.lab = lab;
			this.name = name;
			this.ip = ip;
			this.zone = zone;
			int first = freePorts(ip, 20);
			this.callerPort = first;
			this.readyPort = first + 1;
			this.controlPort = first + 2;
			this.metricsPort = first + 3;
			this.internalPort = first + 4;
			this.settings = lab.directory.resolve(name + ".json");
			this.log = lab.directory.resolve(name + ".log");
		}

		void start() throws IOException {
			String json = """
					{"nodeName":"%s","role":"entry","machineClass":"front","serves":["front"],"ipAddress":"%s",
					"zone":"%s","region":"hr-central","zones":{"hr-central-a":"hr-central","hr-central-b":"hr-central"},
					"%s":{"front":"%s:%d","ready":"%s:%d","control":"%s:%d"},
					"internalPorts":[%d,%d],"seedAddresses":[],"firstStart":false,"countedInTolerance":false,
					"limits":{"cpuShare":0.51,"cpuCores":1,"memoryMb":352,"fileDescriptors":2069,"linkMbps":490.0,"diskMb":0},
					"dataDirectory":null,"discovery":"platform","entry":"virtual_ip","heartbeatMs":1200,
					"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"],
					"faultTolerance":{"machines":2,"zones":1,"regions":0},
					"bounds":{"seedLagS":3,"addressReuseS":2,"touchMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,
					"gracePeriodS":8,"lostSlackMs":200,"configApplyMs":2000,"backSlackMs":250,"outerMs":5000,
					"strictRevocation":true,"revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,
					"budgetExtraRetries":450,"recoveryS":12,"passMs":120,"retryAfterS":0,"stall_ms":3000,
					"fencingEnforced":false},
					"%s":{"address":"%s","form":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,
					"valueBytes":1048576,"ttlMinMs":1000}}
					""".formatted(this.name, this.ip, this.zone, Wire.LISTEN, this.ip, this.callerPort, this.ip,
					this.readyPort, this.ip, this.controlPort, this.internalPort, this.internalPort + 15,
					Wire.STORE, this.lab.storeAddress);
			Files.writeString(this.settings, json);
			ProcessBuilder builder = new ProcessBuilder(runCommand());
			builder.environment().clear();
			for (String name : List.of("PATH", "HOME", "LANG")) {
				if (System.getenv(name) != null) {
					builder.environment().put(name, System.getenv(name));
				}
			}
			builder.environment().put("MEDLARDRUM_SETTINGS", this.settings.toString());
			builder.environment().put("MEDLARDRUM_METRICS_PORT", Integer.toString(this.metricsPort));
			builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
			this.process = builder.start();
			this.lab.note("host " + this.name + " started, pid " + this.process.pid());
			this.process.onExit().thenAccept((ended) -> this.lab.note("host " + this.name + " ended, status " + ended.exitValue()));
		}

		private static List<String> runCommand() throws IOException {
			Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
				.matcher(Files.readString(Path.of("deploy/system.toml")));
			if (!run.find()) {
				throw new IOException("deploy/system.toml names no command");
			}
			return List.of(run.group(1).split(" "));
		}

		String log() throws IOException {
			return Files.exists(this.log) ? Files.readString(this.log, StandardCharsets.ISO_8859_1) : "";
		}

		boolean isReady() {
			try {
				return Call.exchange(this.ip, this.readyPort, "GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
						new byte[0], 1_000).status == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		boolean awaitReady(long timeoutMs) {
			long end = System.nanoTime() + timeoutMs * 1_000_000;
			while (System.nanoTime() < end) {
				if (isReady()) {
					this.lab.note("host " + this.name + " ready");
					return true;
				}
				sleep(50);
			}
			return false;
		}

		void signal(String signal) throws IOException, InterruptedException {
			this.lab.note("signal " + signal + " to " + this.name);
			new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).inheritIO().start().waitFor();
		}

		void destroy() {
			if (this.process != null) {
				this.process.destroyForcibly();
			}
		}

		void kill() throws InterruptedException {
			if (this.process != null) {
				this.process.destroyForcibly();
				this.process.waitFor(5, TimeUnit.SECONDS);
			}
		}

	}

	/** The platform's key-value store, as PROTOCOL.md describes it. */
	static final class Store implements AutoCloseable {

		record Item(String key, byte[] value, long revision, long created, long lease) {
		}

		record Event(long revision, String key, Item item, long atMs) {
		}

		private final Lab lab;

		private final Worker server;

		private final TreeMap<String, Item> items = new TreeMap<>();

		private final List<Event> events = new ArrayList<>();

		private final Map<Long, Long> leaseEnds = new HashMap<>();

		private final Map<Long, Long> leaseTtl = new HashMap<>();

		private long revision = 100;

		private long lastLease = 7_000;

		private long historyFrom = 100;

		Store(Lab lab) throws IOException {
			this.lab = lab;
			this.server = new Worker("127.0.0.1", this::answer);
		}

		String address() {
			return this.server.address();
		}

		synchronized long put(String key, String value) {
			return put(key, value.getBytes(StandardCharsets.UTF_8), 0);
		}

		private synchronized long put(String key, byte[] value, long lease) {
			Item before = this.items.get(key);
			this.revision++;
			Item item = new Item(key, value, this.revision, (before != null) ? before.created : this.revision, lease);
			this.items.put(key, item);
			this.events.add(new Event(this.revision, key, item, System.nanoTime() / 1_000_000));
			notifyAll();
			return this.revision;
		}

		synchronized void delete(String key) {
			if (this.items.remove(key) != null) {
				this.revision++;
				this.events.add(new Event(this.revision, key, null, System.nanoTime() / 1_000_000));
				notifyAll();
			}
		}

		private synchronized void expire() {
			long now = System.nanoTime() / 1_000_000;
			for (Map.Entry<Long, Long> lease : new HashMap<>(this.leaseEnds).entrySet()) {
				if (lease.getValue() < now) {
					this.leaseEnds.remove(lease.getKey());
					this.items.values()
						.stream()
						.filter((item) -> item.lease == lease.getKey())
						.map(Item::key)
						.toList()
						.forEach(this::delete);
				}
			}
			while (!this.events.isEmpty() && this.events.getFirst().atMs < now - 20_000) {
				this.historyFrom = this.events.removeFirst().revision;
			}
		}

		private static String json(Item item) {
			return "{\"key\":\"" + item.key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(item.value)
					+ "\",\"revision\":" + item.revision + ",\"created\":" + item.created + ",\"lease\":" + item.lease + "}";
		}

		private boolean answer(Worker.Request request, Worker.Responder to) throws IOException {
			expire();
			String path = request.target.split("\\?")[0].replace(Wire.STORE_CALL, "");
			Map<String, String> query = query(request.target);
			switch (path) {
				case "key" -> {
					synchronized (this) {
						Item item = this.items.get(query.get("key"));
						to.json((item != null) ? 200 : 404, (item != null)
								? json(item).replaceFirst("}$", ",\"currentRev\":" + this.revision + "}") : "{\"currentRev\":" + this.revision + "}");
					}
				}
				case "range" -> range(query, to);
				case "watch" -> watch(query, to);
				case "txn" -> txn(new String(request.body, StandardCharsets.UTF_8), to);
				case "lease" -> {
					long ttl = Math.clamp(number(new String(request.body, StandardCharsets.UTF_8), "ttlMs"), 1_000, 600_000);
					synchronized (this) {
						long lease = ++this.lastLease;
						this.leaseTtl.put(lease, ttl);
						this.leaseEnds.put(lease, System.nanoTime() / 1_000_000 + ttl);
						to.json(200, "{\"lease\":" + lease + ",\"ttlMs\":" + ttl + "}");
					}
				}
				default -> {
					if (path.startsWith("keep/")) {
						long lease = Long.parseLong(path.substring("keep/".length()));
						synchronized (this) {
							boolean known = this.leaseEnds.containsKey(lease);
							if (known) {
								this.leaseEnds.put(lease, System.nanoTime() / 1_000_000 + this.leaseTtl.get(lease));
							}
							to.json((known) ? 200 : 404, (known) ? "{\"lease\":" + lease + ",\"ttlMs\":" + this.leaseTtl.get(lease) + "}" : "{}");
						}
					}
					else {
						to.json(400, "{}");
					}
				}
			}
			return true;
		}

		private void range(Map<String, String> query, Worker.Responder to) throws IOException {
			StringBuilder text = new StringBuilder("{\"items\":[");
			long current;
			boolean truncated = false;
			synchronized (this) {
				int count = 0;
				int bytes = 0;
				current = this.revision;
				for (Item item : this.items.tailMap(query.getOrDefault("after", ""), false).values()) {
					if (!item.key.startsWith(query.getOrDefault("prefix", ""))) {
						continue;
					}
					if (count >= 500 || bytes > 1_000_000) {
						truncated = true;
						break;
					}
					text.append((count++ > 0) ? "," : "").append(json(item));
					bytes += item.value.length;
				}
			}
			to.json(200, text + "],\"truncated\":" + truncated + ",\"currentRev\":" + current + "}");
		}

		private void watch(Map<String, String> query, Worker.Responder to) throws IOException {
			long after = Long.parseLong(query.get("after"));
			long end = System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("waitMs", "0"));
			String body = null;
			synchronized (this) {
				while (body == null) {
					if (after < this.historyFrom) {
						to.json(410, "{}");
						return;
					}
					StringBuilder text = new StringBuilder();
					for (Event event : this.events) {
						if (event.revision > after && event.key.startsWith(query.getOrDefault("prefix", ""))) {
							text.append((text.isEmpty()) ? "" : ",")
								.append((event.item != null) ? json(event.item) : "{\"key\":\"" + event.key
										+ "\",\"revision\":" + event.revision + ",\"tombstone\":true}");
						}
					}
					long left = end - System.nanoTime() / 1_000_000;
					if (!text.isEmpty() || left <= 0) {
						body = "{\"events\":[" + text + "],\"currentRev\":" + this.revision + "}";
						break;
					}
					try {
						wait(left);
					}
					catch (InterruptedException ex) {
						return;
					}
				}
			}
			to.json(200, body);
		}

		private void txn(String body, Worker.Responder to) throws IOException {
			synchronized (this) {
				String preconditions = array(body, "precondition");
				Matcher row = Pattern.compile("\\{[^}]*\\}").matcher(preconditions);
				while (row.find()) {
					Item item = this.items.get(text(row.group(), "key"));
					if (((item != null) ? item.revision : 0) != number(row.group(), "revision")) {
						to.json(412, "{\"items\":[" + ((item != null) ? json(item) : "") + "]}");
						return;
					}
				}
				Matcher put = Pattern.compile("\\{[^}]*\\}").matcher(array(body, "puts"));
				while (put.find()) {
					long lease = number(put.group(), "lease");
					if (lease != 0 && !this.leaseEnds.containsKey(lease)) {
						to.json(404, "{}");
						return;
					}
					put(text(put.group(), "key"), Base64.getDecoder().decode(text(put.group(), "value")), lease);
				}
				Matcher key = Pattern.compile("\"([^\"]*)\"").matcher(array(body, "deleteKeys"));
				while (key.find()) {
					delete(key.group(1));
				}
				to.json(200, "{\"revision\":" + this.revision + "}");
			}
		}

		private static String array(String json, String name) {
			int at = json.indexOf("\"" + name + "\":[");
			return (at < 0) ? "" : json.substring(at, json.indexOf(']', at) + 1).substring(name.length() + 3);
		}

		static String text(String json, String name) {
			Matcher matcher = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(json);
			return (matcher.find()) ? matcher.group(1) : "";
		}

		static long number(String json, String name) {
			Matcher matcher = Pattern.compile("\"" + name + "\":(\\d+)").matcher(json);
			return (matcher.find()) ? Long.parseLong(matcher.group(1)) : 0;
		}

		private static Map<String, String> query(String target) {
			Map<String, String> result = new HashMap<>();
			int at = target.indexOf('?');
			if (at >= 0) {
				for (String part : target.substring(at + 1).split("&")) {
					String[] pair = part.split("=", 2);
					result.put(pair[0], (pair.length > 1) ? URLDecoder.decode(pair[1], StandardCharsets.UTF_8) : "");
				}
			}
			return result;
		}

		@Override
		public void close() throws IOException {
			this.server.close();
		}

	}

	/** An HTTP server with one thread for each connection. */
	static final class Worker implements AutoCloseable {

		interface Behaviour {

			/** Answers a request; returns whether the connection stays open. */
			boolean answer(Request request, Responder to) throws IOException;

		}

		record Request(String method, String target, Map<String, String> headers, byte[] body, Socket socket) {

			String id() {
				return header(Wire.REQUEST_ID);
			}

			String header(String name) {
				return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
			}

		}

		static final class Responder {

			final OutputStream out;

			Responder(OutputStream out) {
				this.out = out;
			}

			void json(int status, String body) throws IOException {
				send(status, "Content-Type: application/json\r\n", body.getBytes(StandardCharsets.UTF_8));
			}

			void send(int status, String headers, byte[] body) throws IOException {
				ByteArrayOutputStream all = new ByteArrayOutputStream();
				all.writeBytes(("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
				all.writeBytes(body);
				this.out.write(all.toByteArray());
				this.out.flush();
			}

		}

		final String ip;

		final ServerSocket listener = new ServerSocket();

		final AtomicLong accepted = new AtomicLong();

		private final Behaviour behaviour;

		private final Map<Socket, Boolean> open = new ConcurrentHashMap<>();

		Worker(String ip, Behaviour behaviour) throws IOException {
			this.ip = ip;
			this.behaviour = behaviour;
			this.listener.setReuseAddress(true);
			this.listener.bind(new InetSocketAddress(ip, 0), 1_024);
			Thread.ofPlatform().daemon().start(this::acceptAll);
		}

		String address() {
			return this.ip + ":" + this.listener.getLocalPort();
		}

		private void acceptAll() {
			while (!this.listener.isClosed()) {
				try {
					Socket socket = this.listener.accept();
					socket.setTcpNoDelay(true);
					this.accepted.incrementAndGet();
					this.open.put(socket, true);
					Thread.ofPlatform().daemon().start(() -> serve(socket));
				}
				catch (IOException ex) {
					return;
				}
			}
		}

		private void serve(Socket socket) {
			try (socket) {
				InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
				Responder to = new Responder(socket.getOutputStream());
				while (true) {
					Call.Head head = Call.readHead(in);
					if (head == null) {
						return;
					}
					String[] line = head.line.split(" ");
					byte[] body = Call.readBody(in, head, false);
					if (!this.behaviour.answer(new Request(line[0], line[1], head.headers, body, socket), to)
							|| "close".equalsIgnoreCase(head.headers.get("connection"))) {
						return;
					}
				}
			}
			catch (IOException ex) {
				// The peer has closed the connection.
			}
			finally {
				this.open.remove(socket);
			}
		}

		@Override
		public void close() throws IOException {
			this.listener.close();
			for (Socket socket : this.open.keySet()) {
				socket.close();
			}
		}

	}

	/** A caller's side of a connection. */
	static final class Call {

		record Head(String line, Map<String, String> headers) {
		}

		static final class Answer {

			int status;

			Map<String, String> headers;

			byte[] body;

		}

		static Head readHead(InputStream in) throws IOException {
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			int last4 = 0;
			while (last4 != 0x0d0a0d0a) {
				int value = in.read();
				if (value < 0) {
					if (bytes.size() == 0) {
						return null;
					}
					throw new EOFException("connection closed within a head");
				}
				bytes.write(value);
				last4 = (last4 << 8) | value;
			}
			String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
			Map<String, String> headers = new HashMap<>();
			for (int i = 1; i < lines.length; i++) {
				int colon = lines[i].indexOf(':');
				headers.put(lines[i].substring(0, colon).trim().toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).trim());
			}
			return new Head(lines[0], headers);
		}

		static byte[] readBody(InputStream in, Head head, boolean untilEnd) throws IOException {
			if ("chunked".equalsIgnoreCase(head.headers.get("transfer-encoding"))) {
				ByteArrayOutputStream body = new ByteArrayOutputStream();
				while (true) {
					int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
					if (size == 0) {
						while (!readLine(in).isEmpty()) {
							// Skips trailers.
						}
						return body.toByteArray();
					}
					body.writeBytes(exactly(in, size));
					readLine(in);
				}
			}
			if (head.headers.containsKey("content-length")) {
				return exactly(in, Integer.parseInt(head.headers.get("content-length")));
			}
			return (untilEnd) ? in.readAllBytes() : new byte[0];
		}

		private static byte[] exactly(InputStream in, int size) throws IOException {
			byte[] bytes = in.readNBytes(size);
			if (bytes.length < size) {
				throw new EOFException("connection closed after " + bytes.length + " of " + size + " bytes");
			}
			return bytes;
		}

		private static String readLine(InputStream in) throws IOException {
			ByteArrayOutputStream line = new ByteArrayOutputStream();
			for (int value = in.read(); value != '\n'; value = in.read()) {
				if (value < 0) {
					throw new EOFException("connection closed within a line");
				}
				line.write(value);
			}
			return line.toString(StandardCharsets.ISO_8859_1).trim();
		}

		static Answer readAnswer(InputStream in) throws IOException {
			Head head = readHead(in);
			if (head == null) {
				throw new EOFException("connection closed without an answer");
			}
			Answer answer = new Answer();
			answer.status = Integer.parseInt(head.line.split(" ")[1]);
			answer.headers = head.headers;
			answer.body = readBody(in, head, true);
			return answer;
		}

		static Answer exchange(String ip, int port, String head, byte[] body, int timeoutMs) throws IOException {
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress(InetAddress.getByName(ip), port), 1_000);
				socket.setSoTimeout(timeoutMs);
				socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
				socket.getOutputStream().write(body);
				socket.getOutputStream().flush();
				return readAnswer(new BufferedInputStream(socket.getInputStream()));
			}
		}

	}

	/** The operator's configuration with routes for plain services. */
	static String config(long version, String routes, String services, String tenants) {
		return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
				+ "],\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}"
				+ ",\"tenants\":[" + tenants + "]}";
	}

	static String route(String name, String prefix, String kind, String service, int timeoutMs, int maxAttempts, boolean open) {
		return "{\"name\":\"" + name + "\",\"host\":\"ficu95.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
				+ "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":300,\"priority\":0,\"service\":\"" + service
				+ "\",\"maxAttempts\":" + maxAttempts + ",\"public\":" + open + ",\"sticky\":false,\"resumeStreams\":false}";
	}

	static String service(String name) {
		return "{\"name\":\"" + name + "\",\"healthCheckPath\":\"/health\",\"connectionLimit\":248,\"protocol\":\"h1\",\"tls\":false}";
	}

	static String beat(String service, String address, String zone, int slots, String state, long born, long sequence) {
		return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
				+ "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
				+ "\",\"" + Wire.COLD + "\":0,\"sequence\":" + sequence + ",\"born\":" + born + "}";
	}

	static String tenant() {
		return "{\"name\":\"" + TENANT + "\",\"" + Wire.KEYS + "\":[\"" + KEY + "\"],\"priority\":1}";
	}

	private static final AtomicInteger IDS = new AtomicInteger();

	static String newId() {
		return String.format(Locale.ROOT, "%08x%08x", (int) (System.nanoTime() >>> 8), IDS.incrementAndGet());
	}

}
