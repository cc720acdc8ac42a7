import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment for one run of a case: store, record and entry hosts in a temporary folder. */
final class Rig {

	/** Exit codes of a case. */
	static final int HELD = 0;

	static final int BROKEN = 1;

	static final int COULD_NOT_RUN = 2;

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	final Record record;

	final Store store;

	final List<Host> hosts = new ArrayList<>();

	private final Path repository;

	private final Path folder;

	/** The arguments are the repository and the folder of the case. */
	Rig(String[] args) throws Exception {
		this.repository = Path.of(args[0]);
		this.record = new Record(Path.of(args[1]).resolve("record.txt"));
		this.folder = Files.createTempDirectory("review");
		this.store = new Store();
	}

	/** Starts a host in each of the zones and waits until all are ready. */
	void startHosts(String... zones) throws Exception {
		for (int i = 0; i < zones.length; i++) {
			Host host = new Host(i + 1, zones[i], this.store.address(), this.repository, this.folder, Host.BOUNDS);
			this.hosts.add(host);
			host.start();
		}
		for (Host host : this.hosts) {
			if (!host.awaitReady(30_000)) {
				end(COULD_NOT_RUN, "%s is not ready", host.name);
			}
		}
	}

	/** Ends all processes of the run, and the run. */
	void end(int code, String format, Object... values) throws IOException, InterruptedException {
		this.record.say(format, values);
		String kept = System.getenv("KEEP_LOGS");
		for (Host host : this.hosts) {
			host.kill();
			if (kept != null) {
				Files.writeString(Path.of(kept).resolve(host.name + ".log"), host.logText());
			}
		}
		try (Stream<Path> files = Files.walk(this.folder)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		System.exit(code);
	}

}
