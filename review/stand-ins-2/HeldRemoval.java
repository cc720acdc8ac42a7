import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The open connections of all hosts to the store go silent; new ones work. A host meets
 * one of them with a read of the store's version seconds later, and reads again on a new
 * one. Then the entry of a worker is removed.
 */
final class HeldRemoval {

	private static final int HOSTS = 8;

	private static final int LEAVING = 4;

	private static final int CALLERS_OF_A_HOST = 5;

	private static final int TOUCH_MS = 3_000;

	private static final int DRAIN_MS = 2_000;

	private static final int CLOCK_MARGIN_MS = 20;

	/** Time after the removal of its entry at which a worker exits. */
	private static final int EXIT_MS = 2_200;

	private static final int AFTER_READ_MS = 20;

	private static final String ZONE = "hr-central-a";

	private static final Map<String, Long> GONE_AT_MS = new ConcurrentHashMap<>();

	private static final Map<String, Lab.Worker> WORKERS = new ConcurrentHashMap<>();

	private static final AtomicInteger LATE = new AtomicInteger();

	private static final Map<String, AtomicInteger> RESULTS = new ConcurrentHashMap<>();

	private static final Set<String> READ_AGAIN = new HashSet<>();

	private static int leaving;

	private static volatile long silencedAtMs = Long.MAX_VALUE / 2;

	public static void main(String[] args) {
		System.exit(Lab.status(args[0], HeldRemoval::run));
	}

	private static int run(Lab lab) throws Exception {
		for (int i = 0; i < LEAVING + 2; i++) {
			String id = "i-0000000" + i;
			Lab.Worker worker = lab.startWorker("127.0.0.1", (request, to) -> {
				if (request.target().equals("/health")) {
					to.send(200, "Instance-Id: " + id + "\r\n", new byte[0]);
					return true;
				}
				Long goneAtMs = GONE_AT_MS.get(id);
				long sinceMs = (goneAtMs != null) ? lab.nowMs() - goneAtMs : -1;
				if (sinceMs > DRAIN_MS + CLOCK_MARGIN_MS) {
					LATE.incrementAndGet();
					lab.note("request " + request.id() + " reached " + id + " " + sinceMs
							+ " ms after its entry was removed");
				}
				Lab.sleep(100);
				to.send(200, Wire.REQUEST_ID + ": " + request.id() + "\r\n" + Wire.STAMP + ": s." + id
						+ "\r\nServer-Load: 1,0,6\r\n", "done".getBytes(StandardCharsets.UTF_8));
				return true;
			});
			WORKERS.put(id, worker);
			lab.store.put("servers/" + id, Lab.beat("ledger", worker.address(), ZONE, 6, "ready", 1_000 + i, 1));
		}
		putConfig(lab);
		List<Lab.Proxy> proxies = new ArrayList<>();
		for (int i = 1; i <= HOSTS; i++) {
			Lab.Proxy proxy = lab.startStoreProxy();
			String name = "front-a-" + i;
			proxy.onFirstAnswer((target) -> onFirstAnswer(lab, name, target));
			proxies.add(proxy);
			lab.startHost(name, "127.0.1." + i, ZONE);
			Lab.sleep(230);
		}
		for (Lab.EntryHost host : lab.hosts) {
			if (!host.awaitReady(40_000)) {
				lab.note(host.log());
				return 2;
			}
		}
		Lab.sleep(6_000);
		long endMs = lab.nowMs() + 17_000;
		List<Thread> threads = new ArrayList<>();
		for (Lab.EntryHost host : lab.hosts) {
			for (int i = 0; i < CALLERS_OF_A_HOST; i++) {
				threads.add(Thread.ofPlatform().daemon().start(() -> call(lab, host, endMs)));
			}
		}
		silencedAtMs = lab.nowMs();
		if (lab.trouble) {
			int silent = proxies.stream().mapToInt(Lab.Proxy::silence).sum();
			lab.note("silenced " + silent + " connections to the store");
		}
		else {
			for (int i = 0; i < LEAVING; i++) {
				Lab.sleep(TOUCH_MS + 200);
				leave(lab);
			}
		}
		for (Thread thread : threads) {
			thread.join(25_000);
		}
		for (Lab.EntryHost host : lab.hosts) {
			for (String line : host.log().split("\n")) {
				if (line.contains("part=store") || line.contains("event=removed")) {
					lab.note(host.name + ": " + line);
				}
			}
		}
		lab.note("results " + RESULTS + ", workers that left: " + leaving);
		lab.note("requests that reached a worker later than drainMs: " + LATE);
		return (LATE.get() > 0) ? 1 : 0;
	}

	// Only the first read of a host's version on a new connection follows a failed one.
	private static void onFirstAnswer(Lab lab, String host, String target) {
		long sinceMs = lab.nowMs() - silencedAtMs;
		boolean first;
		synchronized (READ_AGAIN) {
			first = target.contains(Wire.STORE_CALL + "range?prefix=none") && READ_AGAIN.add(host);
		}
		if (first) {
			lab.note(host + " has read the version again, " + sinceMs + " ms after the silence");
		}
		if (first && sinceMs > TOUCH_MS + 100) {
			Lab.sleep(AFTER_READ_MS);
			leave(lab);
		}
	}

	private static synchronized void leave(Lab lab) {
		if (leaving == LEAVING) {
			return;
		}
		String id = "i-0000000" + leaving++;
		lab.store.delete("servers/" + id);
		GONE_AT_MS.put(id, lab.nowMs());
		lab.note("the entry of " + id + " was removed");
		Thread.ofPlatform().daemon().start(() -> {
			Lab.sleep(EXIT_MS);
			try {
				WORKERS.get(id).close();
				lab.note(id + " has exited");
			}
			catch (IOException ex) {
				lab.note(id + ": " + ex);
			}
		});
	}

	private static void putConfig(Lab lab) {
		lab.store.put("op/config", Lab.config(7, Lab.route("r-1", "/puxa403/", "unsafe", "ledger", 1_500, 1, false),
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
				lab.note(id + " at " + host.name + ": " + result);
			}
			Lab.sleep(20);
		}
	}

}
