import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some callers leave within half their objective, for a few seconds at a time. Counts the
 * requests of the others that are unanswered at the time-out of their route, and those of
 * them that have no answer half a second later.
 */
final class HeldPastTimeout {

	private static final int CALLERS = 120;

	private static final int TIMEOUT_MS = 1_500;

	private static final int SLACK_MS = 500;

	/** Half of an objective of 300 ms. */
	private static final int LEAVE_WITHIN_MS = 150;

	/** Of ten callers, so many leave early. */
	private static final int LEAVING_OF_TEN = 3;

	private static final long LEAVING_MS = 5_000;

	private static final long PAUSE_MS = 3_000;

	private static final int ROUNDS = 6;

	/** The rule on requests that outlast their time-out counts from this number on. */
	private static final int MIN_UNANSWERED = 8;

	private static final String ZONE = "hr-central-a";

	private static final Map<String, Boolean> RUN = new ConcurrentHashMap<>();

	private static final Map<String, AtomicInteger> RESULTS = new ConcurrentHashMap<>();

	private static final AtomicInteger UNANSWERED = new AtomicInteger();

	private static final AtomicInteger HELD = new AtomicInteger();

	private static final AtomicBoolean LEAVING = new AtomicBoolean();

	public static void main(String[] args) {
		System.exit(Lab.status(args[0], HeldPastTimeout::run));
	}

	private static int run(Lab lab) throws Exception {
		for (int i = 0; i < 4; i++) {
			worker(lab, "i-0000000" + i, 1_000 + i);
		}
		lab.store.put("op/config", Lab.config(7,
				Lab.route("r-1", "/puxa403/", "unsafe", "ledger", TIMEOUT_MS, 1, false) + ","
						+ Lab.route("r-2", "/safe/", "safe", "ledger", TIMEOUT_MS, 2, false),
				Lab.service("ledger"),
				Lab.tenant()));
		int octet = ThreadLocalRandom.current().nextInt(20, 250);
		List<Lab.EntryHost> hosts = new ArrayList<>();
		for (int i = 1; i <= 2; i++) {
			hosts.add(lab.startHost("front-a-" + i, "127.0." + octet + "." + i, ZONE));
		}
		for (Lab.EntryHost host : hosts) {
			if (!host.awaitReady(30_000)) {
				lab.note(host.log());
				return 2;
			}
		}
		// Every host is in touch after touchMs.
		Lab.sleep(4_000);
		AtomicBoolean playing = new AtomicBoolean(true);
		for (int i = 0; i < CALLERS; i++) {
			Lab.EntryHost host = hosts.get(i % 2);
			boolean leaves = (i / 2) % 10 < LEAVING_OF_TEN;
			boolean safe = i % 3 == 0;
			Thread.ofPlatform().daemon().start(() -> {
				while (playing.get()) {
					call(lab, host, safe, leaves && LEAVING.get());
					Lab.sleep(ThreadLocalRandom.current().nextInt(1, 60));
				}
			});
		}
		for (int round = 0; round < ROUNDS; round++) {
			Lab.sleep(PAUSE_MS);
			LEAVING.set(lab.trouble);
			Lab.sleep(LEAVING_MS);
			LEAVING.set(false);
		}
		playing.set(false);
		Lab.sleep(4_000);
		lab.note("results " + new TreeMap<>(RESULTS));
		lab.note("unanswered at their time-out: " + UNANSWERED + ", of these without an answer half a second later: " + HELD);
		return (UNANSWERED.get() >= MIN_UNANSWERED && 2 * HELD.get() > UNANSWERED.get()) ? 1 : 0;
	}

	private static void worker(Lab lab, String id, long born) throws IOException {
		Lab.Worker worker = lab.startWorker("127.0.0.1", (request, to) -> {
			RUN.put(request.id(), true);
			Lab.sleep((long) Math.min(450, 53 * Math.exp(ThreadLocalRandom.current().nextGaussian() / 2)));
			to.send(200, Wire.REQUEST_ID + ": " + request.id() + "\r\n" + Wire.STAMP + ": s." + id
					+ "\r\nServer-Load: 1,0,32\r\n", "done".getBytes(StandardCharsets.UTF_8));
			return false;
		});
		lab.store.put("servers/" + id, Lab.beat("ledger", worker.address(), ZONE, 32, "ready", born, 1));
	}

	private static void call(Lab lab, Lab.EntryHost host, boolean safe, boolean leaves) {
		String id = Lab.newId();
		String result;
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(host.ip, host.callerPort), 1_000);
			socket.setTcpNoDelay(true);
			socket.getOutputStream()
				.write(("POST " + ((safe) ? "/safe/x" : "/puxa403/x") + " HTTP/1.1\r\nHost: ficu95.example\r\n" + Wire.REQUEST_ID + ": "
						+ id + "\r\nDeadline-Milliseconds: 3000\r\nAuthorization: Token " + Lab.KEY
						+ "\r\nContent-Length: 4\r\n\r\nbody")
					.getBytes(StandardCharsets.ISO_8859_1));
			socket.setSoTimeout((leaves) ? ThreadLocalRandom.current().nextInt(1, LEAVE_WITHIN_MS + 1) : TIMEOUT_MS);
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			in.mark(1);
			try {
				in.read();
				in.reset();
				result = "status " + Lab.Call.readAnswer(in).status;
			}
			catch (SocketTimeoutException ex) {
				result = (leaves) ? "left" : awaitLate(lab, host, id, socket, in);
			}
		}
		catch (IOException ex) {
			result = ex.getClass().getSimpleName();
			lab.note(id + " at " + host.name + ": " + ex);
			Lab.sleep(50);
		}
		RESULTS.computeIfAbsent(result, (key) -> new AtomicInteger()).incrementAndGet();
	}

	private static String awaitLate(Lab lab, Lab.EntryHost host, String id, Socket socket, BufferedInputStream in)
			throws IOException {
		UNANSWERED.incrementAndGet();
		socket.setSoTimeout(SLACK_MS);
		try {
			return "late, status " + Lab.Call.readAnswer(in).status;
		}
		catch (SocketTimeoutException ex) {
			HELD.incrementAndGet();
			lab.note(id + " at " + host.name + ": no answer " + (TIMEOUT_MS + SLACK_MS) + " ms after it was sent, from port "
					+ socket.getLocalPort() + ", run=" + RUN.containsKey(id));
			return "no answer";
		}
	}

}
