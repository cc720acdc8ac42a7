import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All hosts are killed at once during a burst of callers, and start again. Counts the
 * arrivals at the servers beyond the first of each request in sliding windows, and
 * compares them with the budget of all hosts together.
 */
public final class RestartedBudgetCase {

	private static final int HOSTS = 15;

	private static final int SERVERS = 6;

	private static final int SLOTS = 3;

	private static final int QUEUE = 2;

	private static final int WORK_MS = 320;

	private static final int USUAL_PER_S = 49;

	private static final double BURST = 2.5;

	private static final long BURST_MS = 6_000;

	/** Time of the kill after the start of the burst. */
	private static final long KILL_AFTER_MS = 2_500;

	private static final long RESTART_MS = 1_000;

	private static final long WINDOW_MS = 10_000;

	private static final double RATIO = 0.2;

	private static final int EXTRA_RETRIES = 450;

	private final Log log;

	private final List<HostProcess> hosts = new ArrayList<>();

	private final List<Long> sentMs = Collections.synchronizedList(new ArrayList<>());

	private final List<Long> repeatedMs = Collections.synchronizedList(new ArrayList<>());

	private final Set<String> arrived = ConcurrentHashMap.newKeySet();

	private final AtomicInteger lastId = new AtomicInteger();

	private volatile double perS = USUAL_PER_S;

	private RestartedBudgetCase(Log log) {
		this.log = log;
	}

	public static void main(String[] args) throws Exception {
		Path folder = Path.of(args[0]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int exit = 2;
		try (Log log = new Log(folder)) {
			RestartedBudgetCase budgetCase = new RestartedBudgetCase(log);
			try {
				exit = budgetCase.run(Files.createTempDirectory("review"), trouble);
			}
			finally {
				budgetCase.hosts.forEach(HostProcess::close);
			}
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(exit);
	}

	private int run(Path temporary, boolean trouble) throws Exception {
		StoreStandIn store = new StoreStandIn();
		for (int i = 0; i < SERVERS; i++) {
			new PlainServer(store, this.log, "ledger", "server" + i, SLOTS, QUEUE, WORK_MS, this::recordArrival,
					(server, request, out) -> ("answer to " + request.target()).getBytes(StandardCharsets.UTF_8));
		}
		store.write(Names.get("key.configuration"), Names.template("configuration.json", "version", 7, "service", "ledger"));
		for (int i = 0; i < HOSTS; i++) {
			this.hosts.add(new HostProcess(10 + i, store.address(), temporary));
		}
		for (HostProcess host : this.hosts) {
			host.awaitReady(60_000);
		}
		this.log.line("all hosts are ready");
		AtomicBoolean stopped = new AtomicBoolean();
		Thread sender = Thread.ofPlatform().start(() -> send(stopped));
		Thread.sleep(12_000);
		this.log.line("burst");
		this.perS = USUAL_PER_S * BURST;
		long burstEndMs = this.log.nowMs() + BURST_MS;
		Thread.sleep(KILL_AFTER_MS);
		if (trouble) {
			this.log.line("all hosts are killed");
			this.hosts.forEach(HostProcess::kill);
			Thread.sleep(RESTART_MS);
			for (HostProcess host : this.hosts) {
				host.restart();
			}
			for (HostProcess host : this.hosts) {
				host.awaitServing(20_000);
			}
			this.log.line("all hosts serve again");
		}
		Thread.sleep(Math.max(0, burstEndMs - this.log.nowMs()));
		this.perS = USUAL_PER_S;
		this.log.line("end of the burst");
		Thread.sleep(5_000);
		stopped.set(true);
		sender.join();
		Thread.sleep(2_000);
		return judge();
	}

	private void recordArrival(String requestId) {
		if (!this.arrived.add(requestId)) {
			this.repeatedMs.add(this.log.nowMs());
		}
	}

	// Each request is one attempt of a caller of its own, at the hosts in turn.
	private void send(AtomicBoolean stopped) {
		double due = this.log.nowMs();
		while (!stopped.get()) {
			due += 1_000 / this.perS;
			try {
				Thread.sleep(Math.max(0, (long) due - this.log.nowMs()));
			}
			catch (InterruptedException ex) {
				return;
			}
			int number = this.lastId.incrementAndGet();
			HostProcess host = this.hosts.get(number % HOSTS);
			Thread.ofVirtual().start(() -> call(host, String.format("a%015x", number)));
		}
	}

	private void call(HostProcess host, String id) {
		this.sentMs.add(this.log.nowMs());
		this.log.line("send " + id);
		try (Caller caller = new Caller(host)) {
			this.log.line("answer " + id + " " + caller.call(id, "GET", "/look/" + id, new byte[0], 3_000).status());
		}
		catch (IOException ex) {
			this.log.line("answer " + id + " none: " + ex.getMessage());
		}
	}

	private int judge() {
		int exit = 0;
		String worst = "";
		double worstExcess = Double.NEGATIVE_INFINITY;
		for (long endMs : List.copyOf(this.repeatedMs)) {
			long repeats = count(this.repeatedMs, endMs);
			long requests = Math.max(count(this.sentMs, endMs), Math.max(count(this.sentMs, endMs - WINDOW_MS),
					count(this.sentMs, endMs - WINDOW_MS / 2)));
			double excess = repeats - (RATIO * requests + EXTRA_RETRIES);
			if (excess > worstExcess) {
				worstExcess = excess;
				worst = "window that ends at " + endMs + ": " + repeats + " arrivals beyond the first, " + requests
						+ " requests, allowed " + (RATIO * requests + EXTRA_RETRIES);
			}
			exit = (excess > 0) ? 1 : exit;
		}
		this.log.line(worst);
		System.out.println(worst);
		return exit;
	}

	private static long count(List<Long> timesMs, long endMs) {
		synchronized (timesMs) {
			return timesMs.stream().filter((atMs) -> atMs > endMs - WINDOW_MS && atMs <= endMs).count();
		}
	}

}
