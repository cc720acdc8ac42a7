import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store cuts the waiting watches, and half a second later a worker leaves that never
 * reports draining: its entry is removed, and it goes on serving for drainMs and a little
 * longer. Requests that are sent later than drainMs after the removal must not reach it.
 */
public final class WatchCut {

	private static final int DRAIN_MS = 2000;

	/** Time for which the worker serves after drainMs. */
	private static final int LINGER_MS = 250;

	private static final int REQUESTS_PER_HOST = 6;

	public static void main(String[] args) throws Exception {
		Rig rig = new Rig(args);
		rig.store.put("op/config",
				Client.config(7, "\"k1\"", Client.route("entry", "/entry/", "unsafe", "ledger", 1500, 1)));
		Map<String, Double> arrivedMs = new ConcurrentHashMap<>();
		Map<String, String> arrivedAt = new ConcurrentHashMap<>();
		Worker.Behaviour work = (worker, request) -> {
			arrivedMs.put(request.header("attempt-id"), rig.record.nowMs());
			arrivedAt.put(request.header("attempt-id"), worker.id);
			Thread.sleep(120);
			return new Object[] { 200, Http.bytes("ok") };
		};
		List<Worker> workers = new ArrayList<>();
		for (String zone : new String[] { "z-a", "z-b", "z-c" }) {
			workers.add(new Worker("i-" + Client.newId().substring(8), "ledger", zone, 6, rig.store, rig.record, work));
		}
		rig.startHosts("z-a", "z-b", "z-c");
		Thread.sleep(6_000);
		int ok = burst(rig);
		if (ok < REQUESTS_PER_HOST * rig.hosts.size()) {
			rig.end(Rig.COULD_NOT_RUN, "%d requests in calm were answered with 200", ok);
		}
		Thread.sleep(1_000);
		if (rig.trouble) {
			rig.record.line("store cuts %d waiting watches", rig.store.cutWatches());
		}
		Thread.sleep(500);
		Worker leaver = workers.get(0);
		leaver.leave();
		double confirmedMs = rig.record.nowMs();
		rig.record.line("store confirmed the removal of servers/%s", leaver.id);
		Thread end = Thread.ofVirtual().start(() -> {
			try {
				Thread.sleep(DRAIN_MS + LINGER_MS);
				leaver.end();
				rig.record.line("worker %s has ended", leaver.id);
			}
			catch (Exception ex) {
				rig.record.line("worker %s: %s", leaver.id, ex);
			}
		});
		Thread.sleep(DRAIN_MS + 100);
		double burstMs = rig.record.nowMs();
		int answered = burst(rig);
		end.join();
		int late = 0;
		for (Map.Entry<String, String> entry : arrivedAt.entrySet()) {
			double sinceMs = arrivedMs.get(entry.getKey()) - confirmedMs;
			if (entry.getValue().equals(leaver.id) && arrivedMs.get(entry.getKey()) >= burstMs && sinceMs > DRAIN_MS) {
				late++;
				rig.record.line("late: %s reached %s %.0f ms after its removal", entry.getKey(), leaver.id, sinceMs);
			}
		}
		rig.end((late > 0) ? Rig.BROKEN : Rig.HELD,
				"%d requests that were sent later than %d ms after the removal reached the worker; %d of the %d "
						+ "requests were not answered with 200",
				late, DRAIN_MS, REQUESTS_PER_HOST * rig.hosts.size() - answered, REQUESTS_PER_HOST * rig.hosts.size());
	}

	/** Sends requests to all hosts; returns how many were answered with 200. */
	private static int burst(Rig rig) throws InterruptedException {
		List<Thread> threads = new ArrayList<>();
		AtomicInteger ok = new AtomicInteger();
		for (Host host : rig.hosts) {
			for (int i = 0; i < REQUESTS_PER_HOST; i++) {
				threads.add(Thread.ofVirtual().start(() -> {
					Http.Message answer = Client.send(host, rig.record, Client.newId(), "POST", "/entry/x", "k1",
							Http.bytes("calf"), 1400);
					if (answer != null && answer.status() == 200) {
						ok.incrementAndGet();
					}
				}));
			}
		}
		for (Thread thread : threads) {
			thread.join();
		}
		return ok.get();
	}

}
