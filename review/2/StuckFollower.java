import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store refuses calls for two seconds, and a worker is added as it serves again. Later
 * than touchMs after that, the operator moves a route to another service. Requests that are
 * sent later than configApplyMs after its confirmation must not be run by the old service.
 */
public final class StuckFollower {

	private static final int CONFIG_APPLY_MS = 2000;

	private static final int BUSY_MS = 2000;

	/** Time from the end of the disruption to the configuration: more than touchMs. */
	private static final int STABLE_MS = 3_500;

	private static final int ROUNDS = 8;

	private static final int HOSTS = 6;

	public static void main(String[] args) throws Exception {
		Rig rig = new Rig(args);
		long version = 7;
		rig.store.put("op/config", config(version, "ledger"));
		Map<String, String> ranAt = new ConcurrentHashMap<>();
		Worker.Behaviour work = (worker, request) -> {
			ranAt.put(request.first().split(" ")[1], worker.service);
			Thread.sleep(20);
			return new Object[] { 200, Http.bytes("ok") };
		};
		for (int i = 0; i < 3; i++) {
			new Worker("i-" + Client.newId().substring(8), "ledger", "z-a", 60, rig.store, rig.record, work);
			new Worker("i-" + Client.newId().substring(8), "archive", "z-a", 60, rig.store, rig.record, work);
		}
		String[] zones = new String[HOSTS];
		Arrays.fill(zones, "z-a");
		rig.startHosts(zones);
		Thread.sleep(4_000);
		AtomicInteger late = new AtomicInteger();
		AtomicInteger sent = new AtomicInteger();
		for (int round = 0; round < ROUNDS && late.get() == 0; round++) {
			if (rig.trouble) {
				rig.record.line("the store answers 503");
				rig.store.busyFor.add("*");
			}
			Thread.sleep(BUSY_MS);
			rig.store.busyFor.clear();
			rig.record.line("the store serves");
			Thread.sleep(10);
			new Worker("i-" + Client.newId().substring(8), "ledger", "z-a", 60, rig.store, rig.record, work);
			Thread.sleep(STABLE_MS);
			awaitRead(rig.store);
			String old = (round % 2 == 0) ? "ledger" : "archive";
			version += 2;
			rig.store.put("op/config", config(version, (round % 2 == 0) ? "archive" : "ledger"));
			double confirmedMs = rig.record.nowMs();
			rig.record.line("store confirmed version %d, which takes the route from %s", version, old);
			int number = round;
			Thread.sleep(CONFIG_APPLY_MS + 50);
			List<Thread> threads = new ArrayList<>();
			for (Host host : rig.hosts) {
				threads.add(Thread.ofVirtual().start(() -> {
					for (int i = 0; i < 12; i++) {
						sent.incrementAndGet();
						double sinceMs = rig.record.nowMs() - confirmedMs;
						String path = "/entry/" + number + "/" + host.name + "/" + i;
						send(rig, host, path);
						if (ranAt.getOrDefault(path, "none").equals(old)) {
							late.incrementAndGet();
							rig.record.line("late: %s was sent to %s %.0f ms after the confirmation and was run by %s", path,
									host.name, sinceMs, old);
						}
						try {
							Thread.sleep(70);
						}
						catch (InterruptedException ex) {
							return;
						}
					}
				}));
			}
			for (Thread thread : threads) {
				thread.join();
			}
		}
		rig.end((late.get() > 0) ? Rig.BROKEN : Rig.HELD,
				"%d of %d requests that were sent later than %d ms after the confirmation were run by the old service",
				late.get(), sent.get(), CONFIG_APPLY_MS);
	}

	/** Waits for the moment after a host has read the store's revision; one comes every 1.8 s or sooner. */
	private static void awaitRead(Store store) throws InterruptedException {
		long beforeNs = store.emptyReadNs;
		for (int i = 0; i < 1_000 && store.emptyReadNs == beforeNs; i++) {
			Thread.sleep(2);
		}
		Thread.sleep(20);
	}

	private static String config(long version, String service) {
		return Client.config(version, "\"k1\"", Client.route("entry", "/entry/", "unsafe", service, 1500, 1));
	}

	private static void send(Rig rig, Host host, String path) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(host.ip, host.front), 1000);
			Client.send(socket, host, rig.record, Client.newId(), "POST", path, "k1", Http.bytes("calf"), 1400);
		}
		catch (IOException ex) {
			rig.record.line("client got nothing: %s", ex);
		}
	}

}
