import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The open connections of all hosts to the store go silent; new ones work. More than
 * touchMs later, workers say in the store that they are draining, one after the other.
 */
final class SilentStoreConnections {

	private static final int HOSTS_OF_A_ZONE = 6;

	private static final int CALLERS_OF_A_HOST = 2;

	private static final int DRAINED = 3;

	private static final int TOUCH_MS = 3_000;

	private static final int DRAIN_MS = 2_000;

	private static final int CLOCK_MARGIN_MS = 50;

	/** Time after its report at which a draining worker exits. */
	private static final int EXIT_MS = 2_400;

	private static final String ZONE = "hr-central-a";

	private static final String OTHER_ZONE = "hr-central-b";

	private static final Map<String, Long> CONFIRMED_AT_MS = new ConcurrentHashMap<>();

	private static final Map<String, Lab.Worker> WORKERS = new ConcurrentHashMap<>();

	private static final AtomicInteger LATE = new AtomicInteger();

	private static final AtomicInteger LOST = new AtomicInteger();

	private static final Map<String, AtomicInteger> RESULTS = new ConcurrentHashMap<>();

	public static void main(String[] args) {
		System.exit(Lab.status(args[0], SilentStoreConnections::run));
	}

	private static int run(Lab lab) throws Exception {
		Lab.Proxy proxy = lab.startStoreProxy();
		for (int i = 0; i < DRAINED + 2; i++) {
			String id = "i-0000000" + i;
			Lab.Worker worker = lab.startWorker("127.0.0.1", (request, to) -> {
				if (request.target().equals("/health")) {
					to.send(200, "Instance-Id: " + id + "\r\n", new byte[0]);
					return true;
				}
				Long confirmedAtMs = CONFIRMED_AT_MS.get(id);
				long sinceMs = (confirmedAtMs != null) ? lab.nowMs() - confirmedAtMs : -1;
				if (sinceMs > DRAIN_MS + CLOCK_MARGIN_MS) {
					LATE.incrementAndGet();
					lab.note("request " + request.id() + " reached " + id + " " + sinceMs
							+ " ms after the store confirmed that it is draining");
				}
				Lab.sleep(100);
				to.send(200, Wire.REQUEST_ID + ": " + request.id() + "\r\n" + Wire.STAMP + ": s." + id
						+ "\r\nServer-Load: 1,0,6\r\n", "done".getBytes(StandardCharsets.UTF_8));
				return true;
			});
			WORKERS.put(id, worker);
			lab.store.put("servers/" + id, Lab.beat("ledger", worker.address(), ZONE, 6, "ready", 1_000 + i, 1));
		}
		putConfig(lab, 7);
		for (int i = 1; i <= HOSTS_OF_A_ZONE; i++) {
			lab.startHost("front-a-" + i, "127.0.1." + i, ZONE);
			lab.startHost("front-b-" + i, "127.0.2." + i, OTHER_ZONE);
			Lab.sleep(290);
		}
		for (Lab.EntryHost host : lab.hosts) {
			if (!host.awaitReady(40_000)) {
				lab.note(host.log());
				return 2;
			}
		}
		Lab.sleep(4_000);
		long endMs = lab.nowMs() + 20_000;
		List<Thread> threads = new ArrayList<>();
		for (Lab.EntryHost host : lab.hosts) {
			for (int i = 0; i < CALLERS_OF_A_HOST; i++) {
				threads.add(Thread.ofPlatform().daemon().start(() -> call(lab, host, endMs)));
			}
		}
		Lab.sleep(1_000);
		putConfig(lab, 9);
		Lab.sleep(400);
		if (lab.trouble) {
			lab.note("silenced " + proxy.silence() + " connections to the store");
		}
		Lab.sleep(TOUCH_MS + 200);
		for (int i = 0; i < DRAINED; i++) {
			String id = "i-0000000" + i;
			lab.store.put("servers/" + id, Lab.beat("ledger", WORKERS.get(id).address(), ZONE, 6, "draining", 1_000 + i, 2));
			CONFIRMED_AT_MS.put(id, lab.nowMs());
			lab.note("the store confirmed that " + id + " is draining");
			Lab.sleep(EXIT_MS);
			WORKERS.get(id).close();
			lab.store.delete("servers/" + id);
			lab.note(id + " has exited");
			Lab.sleep(100);
		}
		for (Thread thread : threads) {
			thread.join(10_000);
		}
		for (Lab.EntryHost host : lab.hosts) {
			for (String line : host.log().split("\n")) {
				if (line.contains("part=store") || (line.contains("part=fleet") && line.contains("draining"))) {
					lab.note(host.name + ": " + line);
				}
			}
		}
		lab.note("results " + RESULTS);
		lab.note("requests that reached a worker later than drainMs: " + LATE + ", failed: " + LOST);
		return (LATE.get() > 0) ? 1 : 0;
	}

	private static void putConfig(Lab lab, long version) {
		lab.store.put("op/config", Lab.config(version, Lab.route("r-1", "/puxa403/", "unsafe", "ledger", 1_500, 1, false),
				Lab.service("ledger"), Lab.tenant()));
	}

	private static void call(Lab lab, Lab.EntryHost host, long endMs) {
		while (lab.nowMs() < endMs) {
			String id = Lab.newId();
			String result;
			try {
				Lab.Call.Answer answer = Lab.Call.exchange(host.ip, host.callerPort,
						"POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\n" + Wire.REQUEST_ID + ": " + id
								+ "\r\nDeadline-Milliseconds: 3000\r\nAuthorization: Token " + Lab.KEY
								+ "\r\nContent-Length: 4\r\n\r\n",
						"body".getBytes(StandardCharsets.UTF_8), 3_500);
				result = "status " + answer.status;
			}
			catch (IOException ex) {
				result = "closed";
			}
			RESULTS.computeIfAbsent(result, (key) -> new AtomicInteger()).incrementAndGet();
			if (!result.equals("status 200")) {
				LOST.incrementAndGet();
				lab.note(id + " at " + host.name + ": " + result);
			}
			Lab.sleep(40);
		}
	}

}
