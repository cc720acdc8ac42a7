import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes the worker that begins to run it, and comes again with the same path,
 * caller and body. The worker starts again some seconds later under the id that it had.
 */
public final class CrashingRequest {

	private static final int TOUCH_MS = 3000;

	private static final int REPEATS = 9;

	private static final int REPEAT_INTERVAL_MS = 8_000;

	private static final int BACK_AFTER_MS = 2_500;

	private static final int MAX_LATE_RETRIES = 3;

	public static void main(String[] args) throws Exception {
		Rig rig = new Rig(args);
		rig.store.put("op/config",
				Client.config(7, "\"k1\"", Client.route("lookup", "/lookup/", "safe", "ledger", 1500, 2),
						Client.route("entry", "/entry/", "unsafe", "archive", 1500, 1)));
		AtomicInteger crashes = new AtomicInteger();
		AtomicInteger late = new AtomicInteger();
		AtomicInteger lost = new AtomicInteger();
		double[] thirdCrashMs = { Double.MAX_VALUE };
		Worker.Behaviour work = (worker, request) -> {
			if (!request.text().equals("crash")) {
				Thread.sleep(60);
				return new Object[] { 200, Http.bytes("ok") };
			}
			double nowMs = rig.record.nowMs();
			if (nowMs > thirdCrashMs[0] + TOUCH_MS) {
				late.incrementAndGet();
				rig.record.line("late: %s reached %s %.0f ms after the third crash", request.header("attempt-id"),
						worker.id, nowMs - thirdCrashMs[0]);
			}
			Thread.sleep(30);
			if (rig.trouble) {
				rig.record.line("worker %s crashes on %s, crash %d", worker.id, request.header("attempt-id"),
						crashes.incrementAndGet());
				if (crashes.get() == 3) {
					thirdCrashMs[0] = rig.record.nowMs();
				}
				worker.crash(BACK_AFTER_MS);
				return null;
			}
			return new Object[] { 200, Http.bytes("ok") };
		};
		for (String zone : new String[] { "z-a", "z-b", "z-c" }) {
			new Worker("i-" + Client.newId().substring(8), "ledger", zone, 6, rig.store, rig.record, work);
		}
		new Worker("i-" + Client.newId().substring(8), "archive", "z-a", 6, rig.store, rig.record, work);
		rig.startHosts("z-a", "z-b");
		Thread.sleep(4_000);
		for (int i = 0; i < REPEATS; i++) {
			// Another requester's entry is at work at the same worker.
			int number = i;
			Thread other = Thread.ofVirtual().start(() -> {
				Http.Message answer = Client.send(rig.hosts.get(0), rig.record, Client.newId(), "POST",
						"/entry/" + number, "k1", Http.bytes("calf " + number), 1400);
				if (answer == null || answer.status() != 200) {
					lost.incrementAndGet();
				}
			});
			Thread.sleep(15);
			Client.send(rig.hosts.get(i % rig.hosts.size()), rig.record, Client.newId(), "POST", "/entry/x", "k1",
					Http.bytes("crash"), 1400);
			other.join();
			for (int n = 0; n < 5; n++) {
				Client.send(rig.hosts.get(n % rig.hosts.size()), rig.record, Client.newId(), "GET", "/lookup/" + n, "k1",
						new byte[0], 1400);
			}
			Thread.sleep(REPEAT_INTERVAL_MS);
		}
		rig.end((late.get() > MAX_LATE_RETRIES) ? Rig.BROKEN : Rig.HELD,
				"%d crashes; %d retries reached the worker later than %d ms after the third crash; %d entries of "
						+ "another requester were lost in the crashes",
				crashes.get(), late.get(), TOUCH_MS, lost.get());
	}

}
