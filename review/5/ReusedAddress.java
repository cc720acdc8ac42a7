import java.util.ArrayList;
import java.util.List;

/**
 * A worker of a model service crashes for good. Later than addressReuseS, its address is
 * assigned to a new worker of another model service, which has less memory.
 */
public final class ReusedAddress {

	private static final int LAYERS = 20;

	private static final double LAYER_MB = 1750;

	private static final double LARGE_MB = 72_000;

	private static final double SMALL_MB = 14_400;

	/** Twice the addressReuseS of the settings. */
	private static final int REUSE_AFTER_MS = 4_000;

	public static void main(String[] args) throws Exception {
		Rig rig = new Rig(args);
		rig.store.put("op/config", config());
		List<Engine> engines = new ArrayList<>();
		for (int i = 0; i < 2; i++) {
			engines.add(engine(rig, "alpha", "h100", LARGE_MB, 0));
		}
		for (int i = 0; i < 4; i++) {
			engines.add(engine(rig, "beta", "t4", SMALL_MB, 0));
		}
		rig.startHosts("z-a", "z-a");
		long untilNs = System.nanoTime() + 25_000_000_000L;
		while (engines.stream().anyMatch((engine) -> engine.layers() == 0)) {
			if (System.nanoTime() > untilNs) {
				rig.end(Rig.COULD_NOT_RUN, "a worker holds no layers after 25 s");
			}
			Thread.sleep(200);
		}
		rig.record.line("all workers hold layers");
		Thread.sleep(3_000);
		Engine gone = engines.get(0);
		int port = gone.port();
		gone.crashForGood();
		Thread.sleep(REUSE_AFTER_MS);
		Engine next = engine(rig, "beta", "t4", SMALL_MB, (rig.trouble) ? port : 0);
		for (int i = 0; i < 120 && next.exceededBy == 0 && next.layers() == 0; i++) {
			Thread.sleep(100);
		}
		Thread.sleep(1_000);
		rig.end((next.exceededBy > 0) ? Rig.BROKEN : Rig.HELD,
				"the new worker of beta holds %d layers; it was ordered to hold %d layers that exceed its memory",
				next.layers(), next.exceededBy);
	}

	private static Engine engine(Rig rig, String service, String kind, double megabytes, int port) throws Exception {
		return new Engine("i-" + Client.newId().substring(8), service, "z-a", kind, megabytes, LAYER_MB, port, rig.store,
				rig.record);
	}

	private static String config() {
		return "{\"version\":7,\"routes\":[" + route("alpha") + "," + route("beta") + "],\"services\":[" + service("alpha")
				+ "," + service("beta") + "],\"tenants\":[{\"name\":\"north\",\"${keys}\":[\"k1\"]}],\"limits\":{"
				+ "\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerTimeoutMs\":10000,\"idleTimeoutMs\":30000}}";
	}

	private static String route(String service) {
		return ("{\"name\":\"r-%s\",\"host\":\"app.example\",\"prefix\":\"/%s/\",\"kind\":\"streaming\",\"timeoutMs\":20000,"
				+ "\"targetLatencyMs\":500,\"priority\":0,\"service\":\"%s\",\"maxAttempts\":2,\"public\":false,"
				+ "\"sticky\":true,\"resumeStreams\":true,\"gapTargetMs\":200}")
			.formatted(service, service, service);
	}

	private static String service(String name) {
		return ("{\"name\":\"%s\",\"healthCheckPath\":\"/health\",\"connectionLimit\":2560,\"protocol\":\"h1\",\"tls\":false,"
				+ "\"engine\":{\"slots\":64,\"kvCacheTokens\":69791,\"kvBytes\":845373,\"linkMbps\":480000.0,\"stride\":2,"
				+ "\"models\":[{\"name\":\"m-%s\",\"pace\":1.0,\"loadS\":2.0,\"warmS\":1.0}],\"step_ms\":0.85,"
				+ "\"per_seq_ms\":0.0055,\"context_per_k\":0.0073,\"read_per_s\":196000.0,\"pairs_per_m\":0.166,"
				+ "\"chunk\":512,\"report_lag_ms\":200.0,\"loadsPerS\":0.0,\"loads_at_once\":6,\"delays\":[],"
				+ "\"usual\":{\"prompt\":772,\"answer\":167},\"layers\":%d,\"layerMb\":%.1f,\"activationBytes\":42268,"
				+ "\"pipeMbps\":13000.0,\"kinds\":[{\"name\":\"h100\",\"megabytes\":%.1f,\"pace\":1.4,"
				+ "\"readMultiplier\":1.0},{\"name\":\"t4\",\"megabytes\":%.1f,\"pace\":15.0,\"readMultiplier\":15.0}]}}")
			.formatted(name, name, LAYERS, LAYER_MB, LARGE_MB, SMALL_MB);
	}

}
