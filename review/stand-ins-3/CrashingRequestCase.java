import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A request crashes each server that begins to run it, and comes again every four
 * seconds: with "begins" one of a safe route, before the server has sent anything, with
 * "answers" one of an unsafe route, when the server has sent the first half of its answer.
 * Beside it the service gets its usual requests. The rule allows three retries that reach
 * servers later than {@code touchMs} after the third crash.
 */
public final class CrashingRequestCase {

	private static final int SERVERS = 6;

	private static final int USUAL = 30;

	private static final long DOWN_MS = 3_000;

	private static final long CRASH_AFTER_MS = 1;

	/** Size of half an answer, and the time after which the server crashes. */
	private static final int HALF_BYTES = 400;

	private static final long ANSWER_MS = 20;

	private static final long TOUCH_MS = 3_000;

	private static final int MAX_LATE_RETRIES = 3;

	private static final long RETURN_MS = 4_000;

	private static final long RUN_MS = 48_000;

	private CrashingRequestCase() {
	}

	public static void main(String[] args) throws Exception {
		Path folder = Path.of(args[0]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int exit = 2;
		Path temporary = Files.createTempDirectory("review");
		try (Log log = new Log(folder)) {
			exit = run(log, temporary, trouble, args[1].equals("answers"));
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(exit);
	}

	private static int run(Log log, Path temporary, boolean trouble, boolean answers) throws Exception {
		StoreStandIn store = new StoreStandIn();
		List<Long> crashesMs = Collections.synchronizedList(new ArrayList<>());
		List<Run> runs = Collections.synchronizedList(new ArrayList<>());
		PlainServer.Behaviour behaviour = (server, request, out) -> {
			boolean poison = request.target().endsWith("/poison");
			if (poison) {
				log.line("run " + request.header(Names.get("header.requestId")) + " at " + server.id());
				runs.add(new Run(log.nowMs(), request.header(Names.get("header.requestId"))));
				Thread.sleep(CRASH_AFTER_MS);
				if (trouble) {
					if (answers) {
						answerHalf(request, out);
					}
					crashesMs.add(log.nowMs());
					server.crash(DOWN_MS);
					return null;
				}
			}
			Thread.sleep(60);
			return ("answer to " + request.target()).getBytes(StandardCharsets.UTF_8);
		};
		for (int i = 0; i < SERVERS; i++) {
			new PlainServer(store, log, "server" + i, 6, behaviour);
		}
		store.write(Names.get("key.configuration"), Names.template("configuration.json", "version", 7, "service", "ledger"));
		try (HostProcess host = new HostProcess(2, store.address(), temporary)) {
			host.awaitReady(30_000);
			log.line("the host is ready");
			AtomicBoolean stopped = new AtomicBoolean();
			for (int i = 0; i < USUAL; i++) {
				int number = i;
				Thread.ofVirtual().start(() -> usualRequests(host, log, number, stopped));
			}
			Thread.sleep(3_000);
			long endMs = log.nowMs() + RUN_MS;
			try (Caller caller = new Caller(host)) {
				for (int i = 0; log.nowMs() < endMs; i++) {
					String id = String.format("b%015x", i);
					String method = (answers) ? "POST" : "GET";
					String path = (answers) ? "/book/poison" : "/look/poison";
					log.line("send " + id + " " + method + " " + path);
					try {
						log.line("answer " + id + " " + caller.call(id, method, path, new byte[0], 3_000).status());
					}
					catch (java.io.IOException ex) {
						log.line("answer " + id + " none: " + ex.getMessage());
					}
					Thread.sleep(RETURN_MS);
				}
			}
			stopped.set(true);
			Thread.sleep(500);
			if (!host.isAlive()) {
				throw new IllegalStateException("The host has ended");
			}
		}
		long fromMs = (crashesMs.size() >= 3) ? crashesMs.get(2) + TOUCH_MS : Long.MAX_VALUE;
		long late = runs.stream().filter((run) -> run.atMs > fromMs).map(Run::requestId).distinct().count();
		log.line("crashes " + crashesMs.size() + ", retries that reached a server later than " + TOUCH_MS
				+ " ms after the third crash: " + late);
		System.out.println("crashes " + crashesMs.size() + ", late retries " + late);
		return (late > MAX_LATE_RETRIES) ? 1 : 0;
	}

	private static void answerHalf(Http.Message request, OutputStream out) throws Exception {
		String id = request.header(Names.get("header.requestId"));
		out.write(("HTTP/1.1 200 OK\r\n" + Names.get("header.requestId") + ": " + id + "\r\n" + Names.get("header.proof")
				+ ": stamp." + id + "\r\nContent-Length: " + 2 * HALF_BYTES + "\r\n\r\n")
			.getBytes(StandardCharsets.UTF_8));
		out.write(new byte[HALF_BYTES]);
		out.flush();
		Thread.sleep(ANSWER_MS);
	}

	private static void usualRequests(HostProcess host, Log log, int number, AtomicBoolean stopped) {
		try (Caller caller = new Caller(host)) {
			for (int i = 0; !stopped.get(); i++) {
				String id = String.format("a%07x%08x", number, i);
				try {
					int status = caller.call(id, "GET", "/look/" + number + "/" + i, new byte[0], 3_000).status();
					if (status != 200) {
						log.line("usual " + id + " " + status);
					}
				}
				catch (java.io.IOException ex) {
					log.line("usual " + id + " none: " + ex.getMessage());
				}
				Thread.sleep(20);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}


	private record Run(long atMs, String requestId) {
	}

}
