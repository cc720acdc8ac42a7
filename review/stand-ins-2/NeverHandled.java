import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
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
 * Two hosts are stopped by SIGTERM and started again in turn, beside changes of the
 * configuration and callers that give up. Each other caller waits for its answer.
 */
final class NeverHandled {

	private static final int CALLERS = 90;

	private static final int TIMEOUT_MS = 20_000;

	private static final int LOST_SLACK_MS = 200;

	private static final int GRACE_MS = 8_000;

	private static final long PLAY_MS = 88_000;

	private static final int GIVE_UP_MS = 150;

	/** One caller in so many gives up. */
	private static final int GIVE_UP_ONE_IN = 15;

	private static final String ZONE = "hr-central-a";

	private static final String SERVICES = Lab.service("ledger") + """
			,{"name":"tally","healthCheckPath":"/health","connectionLimit":2560,"protocol":"h1","tls":false,"engine":{
			"slots":134,"kvCacheTokens":69791,"kvBytes":845373,"linkMbps":480000.0,"stride":2,
			"models":[{"name":"m0","pace":1.0,"loadS":14.0,"warmS":1.0}],"step_ms":0.85,"per_seq_ms":0.005,
			"context_per_k":0.007,"read_per_s":321000.0,"pairs_per_m":0.166,"chunk":512,"report_lag_ms":200.0,
			"loadsPerS":0.0,"loads_at_once":6,
			"delays":[{"from":"hr-central-a","target":"hr-central-b","delay_ms":0.42}],
			"usual":{"prompt":772,"answer":138},"layers":20,"layerMb":1750.0,"activationBytes":42268,"pipeMbps":3400.0,
			"kinds":[{"name":"a100s","megabytes":36000.0,"pace":3.1,"readMultiplier":3.2}]}}""";

	private static final Map<String, Boolean> RUN = new ConcurrentHashMap<>();

	private static final Map<String, AtomicInteger> RESULTS = new ConcurrentHashMap<>();

	private static final Map<String, Long> STOPPED_AT_MS = new ConcurrentHashMap<>();

	private static final AtomicInteger LOST = new AtomicInteger();

	private static final AtomicInteger LOST_AFTER_A_SECOND = new AtomicInteger();

	private static final AtomicInteger UNANSWERED = new AtomicInteger();

	public static void main(String[] args) {
		System.exit(Lab.status(args[0], NeverHandled::run));
	}

	private static int run(Lab lab) throws Exception {
		for (int i = 0; i < 3; i++) {
			worker(lab, "i-0000000" + i, 1_000 + i);
		}
		putConfig(lab, 7);
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
		AtomicBoolean playing = new AtomicBoolean(true);
		for (int i = 0; i < CALLERS; i++) {
			Lab.EntryHost host = hosts.get(i % 2);
			boolean safe = i % 3 == 0;
			Thread.ofPlatform().daemon().start(() -> {
				while (playing.get()) {
					call(lab, host, safe);
				}
			});
		}
		long endMs = lab.nowMs() + PLAY_MS;
		for (int round = 0; lab.nowMs() < endMs; round++) {
			Lab.sleep(1_500);
			putConfig(lab, 8 + 2 * round);
			Lab.sleep(1_000);
			if (!lab.trouble) {
				Lab.sleep(5_000);
				continue;
			}
			Lab.EntryHost host = hosts.get(round % 2);
			STOPPED_AT_MS.put(host.name, lab.nowMs());
			host.signal("TERM");
			host.process.waitFor();
			host.start();
			host.awaitReady(10_000);
		}
		playing.set(false);
		Lab.sleep(2_000);
		for (Lab.EntryHost host : hosts) {
			if (lab.trouble) {
				STOPPED_AT_MS.put(host.name, lab.nowMs());
				host.signal("TERM");
			}
		}
		Lab.sleep(9_000);
		lab.note("results " + new TreeMap<>(RESULTS));
		lab.note("unanswered for 8 s: " + UNANSWERED);
		lab.note("read whole, not answered, connection ended beside the host's SIGTERM: " + LOST
				+ ", of these after more than a second: " + LOST_AFTER_A_SECOND);
		return (LOST.get() > 0) ? 1 : 0;
	}

	private static void worker(Lab lab, String id, long born) throws IOException {
		AtomicInteger inside = new AtomicInteger();
		Lab.Worker worker = lab.startWorker("127.0.0.1", (request, to) -> {
			String head = "Attempt-Id: " + request.header("Attempt-Id") + "\r\n";
			if (inside.incrementAndGet() > 10) {
				inside.decrementAndGet();
				to.send(503, head + "Not-Executed: 1\r\n", new byte[0]);
				return false;
			}
			try {
				RUN.put(request.header("Attempt-Id"), true);
				Lab.sleep(ThreadLocalRandom.current().nextInt(100, 400));
				to.send(200, head + "Response-Stamp: s." + id + "\r\nServer-Load: " + inside + ",0,6\r\n",
						"done".getBytes(StandardCharsets.UTF_8));
			}
			finally {
				inside.decrementAndGet();
			}
			return false;
		});
		lab.store.put("servers/" + id, Lab.beat("ledger", worker.address(), ZONE, 6, "ready", born, 1));
	}

	private static void putConfig(Lab lab, long version) {
		lab.store.put("op/config", Lab.config(version,
				Lab.route("r-1", "/puxa403/", "unsafe", "ledger", TIMEOUT_MS, 1, false) + ","
						+ Lab.route("r-2", "/safe/", "safe", "ledger", TIMEOUT_MS, 2, false) + ","
						+ Lab.route("r-3", "/lohu930/", "streaming", "tally", 20_000, 2, false),
				SERVICES, "{\"name\":\"" + Lab.TENANT + "\",\"apiKeys\":[\"" + Lab.KEY + "\",\"k" + version
						+ "\"],\"priority\":1}"));
	}

	private static void call(Lab lab, Lab.EntryHost host, boolean safe) {
		String id = Lab.newId();
		boolean givesUp = ThreadLocalRandom.current().nextInt(GIVE_UP_ONE_IN) == 0;
		long wholeAtMs = 0;
		String result;
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(host.ip, host.callerPort), 1_000);
			socket.setSoTimeout((givesUp) ? GIVE_UP_MS : TIMEOUT_MS - 4_000);
			socket.getOutputStream()
				.write(("POST " + ((safe) ? "/safe/x" : "/puxa403/x") + " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: "
						+ id + "\r\nDeadline-Milliseconds: " + TIMEOUT_MS + "\r\nAuthorization: Token " + Lab.KEY
						+ "\r\nContent-Length: 4\r\n\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
			socket.getOutputStream().write("body".getBytes(StandardCharsets.ISO_8859_1));
			wholeAtMs = lab.nowMs();
			result = "status " + Lab.Call.readAnswer(new BufferedInputStream(socket.getInputStream())).status;
			if (lab.nowMs() - wholeAtMs > 8_000) {
				UNANSWERED.incrementAndGet();
				lab.note(id + " at " + host.name + " answered only after " + (lab.nowMs() - wholeAtMs) + " ms: " + result);
			}
			if (result.equals("status 503")) {
				Lab.sleep(50);
			}
		}
		catch (IOException ex) {
			long nowMs = lab.nowMs();
			result = (givesUp) ? "gave up" : ex.getClass().getSimpleName();
			if (!givesUp && wholeAtMs > 0) {
				long tookMs = nowMs - wholeAtMs;
				boolean beside = nowMs - STOPPED_AT_MS.getOrDefault(host.name, Long.MIN_VALUE / 2) < GRACE_MS + 1_000;
				if (tookMs > 8_000) {
					UNANSWERED.incrementAndGet();
				}
				if (tookMs > LOST_SLACK_MS) {
					lab.note(id + " at " + host.name + ": " + ex + " after " + tookMs + " ms, beside SIGTERM=" + beside
							+ " run=" + RUN.containsKey(id));
				}
				// An end without a reset shows that the process had read all bytes.
				if (ex instanceof EOFException && tookMs > LOST_SLACK_MS && beside) {
					LOST.incrementAndGet();
					LOST_AFTER_A_SECOND.addAndGet((tookMs > 1_000) ? 1 : 0);
				}
			}
			Lab.sleep(60);
		}
		RESULTS.computeIfAbsent(result, (key) -> new AtomicInteger()).incrementAndGet();
	}

}
