import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A host is killed in the middle of its streams, and their callers resume them at another
 * one after the last event that they have received. The route is split between a service
 * of engines and one without layers. Counts the callers that receive a piece twice or
 * miss one.
 */
public final class ResumedStreamCase {

	private static final int STREAMS = 80;

	private static final int ENGINES = 3;

	private static final int SERVERS = 3;

	private static final long KILL_AFTER_MS = 700;

	private static final int TIMEOUT_MS = 20_000;

	private static final int PART_BYTES = 4_096;

	private static final int MAX_TRIES = 12;

	private static final long RETRY_MS = 300;

	private final Log log;

	private final Set<Integer> broken = ConcurrentHashMap.newKeySet();

	private final Set<Integer> resumed = ConcurrentHashMap.newKeySet();

	private final Set<Integer> whole = ConcurrentHashMap.newKeySet();

	private ResumedStreamCase(Log log) {
		this.log = log;
	}

	public static void main(String[] args) throws Exception {
		Path folder = Path.of(args[0]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int exit = 2;
		try (Log log = new Log(folder)) {
			exit = new ResumedStreamCase(log).run(Files.createTempDirectory("review"), trouble);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(exit);
	}

	private int run(Path temporary, boolean trouble) throws Exception {
		StoreStandIn store = new StoreStandIn();
		EventSource events = new EventSource(this.log);
		for (int i = 0; i < ENGINES; i++) {
			new EngineServer(store, "engine" + i, events);
		}
		for (int i = 0; i < SERVERS; i++) {
			new PlainServer(store, this.log, "notes", "server" + i, 12, 24, 0, (requestId) -> {
			}, (server, request, out) -> {
				events.send(server.id(), request, out);
				return null;
			});
		}
		store.write(Names.get("key.configuration"), Names.template("configuration-streams.json"));
		try (HostProcess first = new HostProcess(2, store.address(), temporary);
				HostProcess second = new HostProcess(3, store.address(), temporary)) {
			first.awaitReady(30_000);
			second.awaitReady(30_000);
			this.log.line("both hosts are ready");
			awaitEngines(second);
			List<Thread> callers = new ArrayList<>();
			for (int i = 0; i < STREAMS; i++) {
				int number = i;
				callers.add(Thread.ofVirtual().start(() -> call(number, first, second)));
			}
			Thread.sleep(KILL_AFTER_MS);
			if (trouble) {
				this.log.line("the first host is killed");
				first.kill();
			}
			for (Thread caller : callers) {
				caller.join();
			}
		}
		String result = this.whole.size() + " of " + STREAMS + " streams were received to their last event, "
				+ this.resumed.size() + " of them in two parts; " + this.broken.size()
				+ " callers received a piece twice or missed one";
		this.log.line(result);
		System.out.println(result);
		if (this.whole.size() < STREAMS / 2 || (trouble && this.resumed.isEmpty())) {
			return 2;
		}
		return (this.broken.isEmpty()) ? 0 : 1;
	}

	// The engines start empty. Waits until streams are served.
	private void awaitEngines(HostProcess host) throws Exception {
		for (int i = 0; i < 200; i++) {
			Http.Message answer = null;
			try (Socket socket = host.connect()) {
				socket.setSoTimeout(TIMEOUT_MS);
				write(socket, String.format("c%015x", i), 0, "/warm/" + i);
				answer = Http.read(new BufferedInputStream(socket.getInputStream()));
			}
			catch (IOException ex) {
				this.log.line("warm-up: " + ex.getMessage());
			}
			if (answer != null && answer.status() == 200) {
				return;
			}
			Thread.sleep(100);
		}
		throw new IllegalStateException("No stream is served");
	}

	private void call(int number, HostProcess first, HostProcess second) {
		int last = 0;
		for (int attempt = 0; attempt < MAX_TRIES && !this.whole.contains(number); attempt++) {
			try {
				Thread.sleep((attempt == 0) ? number : RETRY_MS);
				last = receive(number, attempt, (attempt == 0) ? first : second, last);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	// Returns the identifier of the last event that was received.
	private int receive(int number, int attempt, HostProcess host, int after) {
		String id = String.format("a%07x%08x", number, attempt);
		this.log.line("send " + id + " after event " + after);
		int last = after;
		try (Socket socket = host.connect()) {
			socket.setSoTimeout(TIMEOUT_MS);
			write(socket, id, after, "/tell/" + number);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			int status = Integer.parseInt(line(in).split(" ")[1]);
			if (status != 200) {
				this.log.line("answer " + id + " " + status);
				return last;
			}
			int length = contentLength(in);
			StringBuilder text = new StringBuilder();
			for (byte[] part = next(in, length); part.length > 0; part = next(in, length)) {
				length -= (length >= 0) ? part.length : 0;
				text.append(new String(part, StandardCharsets.UTF_8));
				for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
					int event = Integer.parseInt(text.substring(4, text.indexOf("\n")));
					text.delete(0, end + 2);
					if (event != last + 1 && this.broken.add(number)) {
						this.log.line("answer " + id + ": event " + event + " after event " + last);
					}
					last = event;
				}
			}
			this.log.line("answer " + id + " ends after event " + last);
			if (last == EventSource.EVENTS) {
				this.whole.add(number);
				if (after > 0) {
					this.resumed.add(number);
				}
			}
		}
		catch (IOException | RuntimeException ex) {
			this.log.line("answer " + id + " breaks off after event " + last + ": " + ex.getMessage());
		}
		return last;
	}

	private static void write(Socket socket, String id, int after, String path) throws IOException {
		List<String> headers = new ArrayList<>(List.of("Host", "review.example", Names.get("header.requestId"), id,
				Names.get("header.deadline"), Integer.toString(TIMEOUT_MS), Names.get("header.key"),
				Names.get("key.scheme") + " key-north", Names.get("header.model"), "model",
				Names.get("header.tokens"), "772,167", Names.get("header.prompt"), "ab:40," + id.substring(1) + ":732"));
		if (after > 0) {
			headers.addAll(List.of(Names.get("header.lastEvent"), Integer.toString(after)));
		}
		Http.write(socket.getOutputStream(), "POST " + path + " HTTP/1.1", "prompt".getBytes(StandardCharsets.UTF_8),
				headers.toArray(String[]::new));
	}

	// Returns -1 for a response in chunks.
	private static int contentLength(InputStream in) throws IOException {
		int length = -1;
		for (String header = line(in); !header.isEmpty(); header = line(in)) {
			if (header.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
				length = Integer.parseInt(header.substring(header.indexOf(':') + 1).trim());
			}
		}
		return length;
	}

	// Returns the next part of a body, which is empty at its end.
	private static byte[] next(InputStream in, int length) throws IOException {
		int size = (length >= 0) ? Math.min(length, PART_BYTES) : Integer.parseInt(line(in), 16);
		byte[] part = in.readNBytes(size);
		if (part.length < size) {
			throw new IOException("connection ended");
		}
		if (length < 0) {
			line(in);
		}
		return part;
	}

	private static String line(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		for (int value = in.read(); value != '\n'; value = in.read()) {
			if (value < 0) {
				throw new IOException("connection ended");
			}
			line.append((char) value);
		}
		return line.toString().trim();
	}

}
