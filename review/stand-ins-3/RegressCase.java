import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One host loses its path to two of ten servers, and a route moves to the service of
 * these. Looks for a request to that host that the former service runs, although it was
 * sent later than {@code backSlackMs} after the new service ran one of the same host.
 */
public final class RegressCase {

	private static final int OTHER_HOSTS = 6;

	private static final int CALLERS = 10;

	private static final long BACK_SLACK_MS = 250;

	private static final int CUTS = 8;

	private static final long CUT_MS = 5_000;

	/** Time between the starts of two hosts, as after restarts. */
	private static final long START_GAP_MS = 450;

	private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

	/** Services with their numbers of servers. */
	private static final Map<String, Integer> SERVERS = Map.of("ledger", 2, "moved", 2, "notes", 6);

	private final Log log;

	private final List<HostProcess> hosts = new ArrayList<>();

	private final List<Change> changes = new ArrayList<>();

	private final Map<String, Long> sentMs = new ConcurrentHashMap<>();

	private final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();

	private RegressCase(Log log) {
		this.log = log;
	}

	public static void main(String[] args) throws Exception {
		Path folder = Path.of(args[0]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int exit = 2;
		try (Log log = new Log(folder)) {
			RegressCase regressCase = new RegressCase(log);
			try {
				exit = regressCase.run(Files.createTempDirectory("review"), trouble);
			}
			finally {
				regressCase.hosts.forEach(HostProcess::close);
			}
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(exit);
	}

	private int run(Path temporary, boolean trouble) throws Exception {
		StoreStandIn store = new StoreStandIn();
		Map<String, String> addresses = new HashMap<>();
		List<Link> links = new ArrayList<>();
		for (Map.Entry<String, Integer> service : SERVERS.entrySet()) {
			for (int i = 0; i < service.getValue(); i++) {
				PlainServer server = new PlainServer(store, this.log, service.getKey(), service.getKey() + i, 12, 36, 20,
						(requestId) -> {
						}, this::runAt);
				Link link = new Link(server.address());
				addresses.put(server.address(), link.address());
				if (service.getKey().equals("ledger")) {
					links.add(link);
				}
				Thread.sleep(120);
			}
		}
		store.write(Names.get("key.configuration"),
				Names.template("configuration.json", "version", 7, "service", "moved"));
		this.hosts.add(new HostProcess(40, store.addressWithLinks(addresses), temporary));
		for (int i = 1; i <= OTHER_HOSTS; i++) {
			if (i > 1) {
				Thread.sleep(START_GAP_MS);
			}
			this.hosts.add(new HostProcess(40 + i, ZONES.get(i % ZONES.size()), store.address(), temporary));
		}
		for (HostProcess host : this.hosts) {
			host.awaitReady(60_000);
		}
		this.log.line("all hosts are ready");
		AtomicBoolean stopped = new AtomicBoolean();
		for (int i = 0; i < CALLERS; i++) {
			int number = i;
			Thread.ofVirtual().start(() -> call(this.hosts.getFirst(), "a" + number, stopped));
		}
		for (int i = 1; i <= OTHER_HOSTS; i++) {
			int number = i;
			Thread.ofVirtual().start(() -> call(this.hosts.get(number), "b" + number, stopped));
		}
		Thread.sleep(4_000);
		for (int i = 0; i < CUTS; i++) {
			if (trouble) {
				this.log.line("the first host loses its path to two servers");
				for (Link link : links) {
					link.cut();
				}
			}
			Thread.sleep(1_000 + 130 * i);
			move(store, 11 + 7 * i, "ledger");
			Thread.sleep(CUT_MS - 1_000 - 130 * i);
			if (trouble) {
				this.log.line("the path is back");
				for (Link link : links) {
					link.restore();
				}
			}
			Thread.sleep(1_000);
			move(store, 14 + 7 * i, "moved");
			Thread.sleep(3_000);
		}
		stopped.set(true);
		Thread.sleep(1_000);
		return judge();
	}

	private void move(StoreStandIn store, int version, String service) {
		this.changes.add(new Change(service, this.log.nowMs()));
		store.write(Names.get("key.configuration"),
				Names.template("configuration.json", "version", version, "service", service));
		this.log.line("the store has confirmed version " + version + ", which moves the route to " + service);
	}

	private byte[] runAt(PlainServer server, Http.Message request, OutputStream out) {
		String id = request.header(Names.get("header.requestId"));
		this.runs.add(new Run(id, server.id(), this.log.nowMs()));
		return ("answer of " + server.id()).getBytes(StandardCharsets.UTF_8);
	}

	private void call(HostProcess host, String prefix, AtomicBoolean stopped) {
		try (Caller caller = new Caller(host)) {
			for (int i = 0; !stopped.get(); i++) {
				String id = prefix + "-" + i;
				this.sentMs.put(id, this.log.nowMs());
				try {
					Http.Message answer = caller.call(id, "GET", "/look/" + id, new byte[0], 3_000);
					this.log.line(id + " sent at " + this.sentMs.get(id) + ": " + answer.status() + " "
							+ new String(answer.body(), StandardCharsets.UTF_8));
				}
				catch (IOException ex) {
					this.log.line(id + " sent at " + this.sentMs.get(id) + ": none, " + ex.getMessage());
				}
				Thread.sleep(30);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private int judge() {
		int regressed = 0;
		for (int i = 0; i < this.changes.size(); i++) {
			Change change = this.changes.get(i);
			long endMs = (i + 1 < this.changes.size()) ? this.changes.get(i + 1).atMs : Long.MAX_VALUE;
			long effectMs = this.runs.stream()
				.filter((run) -> run.requestId.startsWith("a") && run.server.startsWith(change.service)
						&& run.atMs >= change.atMs)
				.mapToLong(Run::atMs)
				.min()
				.orElseThrow(() -> new IllegalStateException("The service has run nothing"));
			List<String> late = this.runs.stream()
				.filter((run) -> run.requestId.startsWith("a") && !run.server.startsWith(change.service)
						&& this.sentMs.get(run.requestId) > effectMs + BACK_SLACK_MS && run.atMs < endMs)
				.map((run) -> run.requestId + " sent " + (this.sentMs.get(run.requestId) - effectMs)
						+ " ms after it, run at " + run.server)
				.toList();
			regressed += late.size();
			this.log.line("change at " + change.atMs + " to " + change.service + ": first run there at " + effectMs
					+ ", sent later than " + BACK_SLACK_MS + " ms after it and run by the former service: " + late);
		}
		System.out.println(regressed + " requests of the first host were run by the former service, sent later than "
				+ BACK_SLACK_MS + " ms after the new one ran one");
		return (regressed > 0) ? 1 : 0;
	}

	private record Change(String service, long atMs) {
	}

	private record Run(String requestId, String server, long atMs) {
	}

}
