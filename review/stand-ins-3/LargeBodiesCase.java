import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * Many callers come at once with bodies of a tenth of the operator's limit. Counts the
 * requests that are unanswered at the timeout of their route, and those of them that have
 * no answer half a second later.
 */
public final class LargeBodiesCase {

	private static final int SERVERS = 3;

	private static final int SLOTS = 80;

	private static final int WORK_MS = 3_000;

	private static final int CALLERS = 200;

	private static final long GAP_MS = 10;

	private static final int BODY_BYTES = 400_000;

	private static final int USUAL_BODY_BYTES = 800;

	/** Timeout of the route in the configuration. */
	private static final long TIMEOUT_MS = 10_000;

	private static final long LATE_MS = 500;

	private static final int CALLER_DEADLINE_MS = 13_000;

	/** Fewest requests without an answer for which the rule counts. */
	private static final int MIN_UNANSWERED = 8;

	private LargeBodiesCase() {
	}

	public static void main(String[] args) throws Exception {
		Path folder = Path.of(args[0]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int exit = 2;
		try (Log log = new Log(folder)) {
			exit = run(log, Files.createTempDirectory("review"), trouble);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(exit);
	}

	private static int run(Log log, Path temporary, boolean trouble) throws Exception {
		StoreStandIn store = new StoreStandIn();
		for (int i = 0; i < SERVERS; i++) {
			new PlainServer(store, log, "ledger", "server" + i, SLOTS, SLOTS / 4, 0, (requestId) -> {
			}, (server, request) -> {
				log.line("run " + request.header(Names.get("header.requestId")) + " at " + server.id());
				Thread.sleep((request.target().startsWith("/book/")) ? WORK_MS : 60);
				return ("answer to " + request.target()).getBytes(StandardCharsets.UTF_8);
			});
		}
		store.write(Names.get("key.configuration"),
				Names.template("configuration.json", "version", 7, "service", "ledger"));
		List<Long> tookMs = Collections.synchronizedList(new ArrayList<>());
		try (HostProcess host = new HostProcess(2, store.address(), temporary)) {
			host.awaitReady(30_000);
			Thread.sleep(4_000);
			log.line("the host is ready, " + host.peakMegabytes() + " MB");
			CountDownLatch ended = new CountDownLatch(CALLERS);
			for (int i = 0; i < CALLERS; i++) {
				String id = String.format("b%015x", i);
				Thread.ofVirtual().start(() -> {
					tookMs.add(call(host, log, id, "POST", "/book/" + id, (trouble) ? BODY_BYTES : USUAL_BODY_BYTES));
					ended.countDown();
				});
				Thread.sleep(GAP_MS);
			}
			ended.await();
			log.line("all callers have ended, the host is alive " + host.isAlive() + ", ready " + host.isReady() + ", "
					+ host.peakMegabytes() + " MB at most");
			for (int i = 0; i < 10; i++) {
				String id = String.format("c%015x", i);
				Thread.ofVirtual().start(() -> call(host, log, id, "GET", "/look/" + id, 0));
			}
			Thread.sleep(4_000);
		}
		long atTimeout = tookMs.stream().filter((ms) -> ms > TIMEOUT_MS).count();
		long later = tookMs.stream().filter((ms) -> ms > TIMEOUT_MS + LATE_MS).count();
		String result = "of " + CALLERS + " requests, " + atTimeout + " were unanswered at the timeout of the route, "
				+ later + " of these " + LATE_MS + " ms later";
		log.line(result);
		System.out.println(result);
		return (later >= MIN_UNANSWERED && later * 2 > atTimeout) ? 1 : 0;
	}

	// Returns the time until the answer or the end of the connection.
	private static long call(HostProcess host, Log log, String id, String method, String path, int bytes) {
		log.line("send " + id + " " + method + " " + path + ", " + bytes + " bytes");
		long sentMs = log.nowMs();
		try (Caller caller = new Caller(host)) {
			int status = caller.call(id, method, path, new byte[bytes], (bytes > 0) ? CALLER_DEADLINE_MS : 3_000)
				.status();
			log.line("answer " + id + " " + status + " after " + (log.nowMs() - sentMs) + " ms");
		}
		catch (SocketTimeoutException ex) {
			log.line("answer " + id + " none after " + (log.nowMs() - sentMs) + " ms");
		}
		catch (IOException ex) {
			log.line("answer " + id + " connection closed after " + (log.nowMs() - sentMs) + " ms: " + ex.getMessage());
		}
		return log.nowMs() - sentMs;
	}

}
