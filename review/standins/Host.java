import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.ThreadLocalRandom;

/** One entry host: a process that the command of the deploy file starts, on a loopback address of its own. */
final class Host {

	/** First three numbers of the loopback addresses of this run. */
	private static final String NETWORK = "127." + ThreadLocalRandom.current().nextInt(20, 250) + "."
			+ ThreadLocalRandom.current().nextInt(1, 250) + ".";

	final String name;

	final String ip;

	final int front;

	final int ready;

	private final Path repository;

	private final Path settings;

	private final Path log;

	private Process process;

	Host(int number, String zone, String store, Path repository, Path folder, String bounds) throws IOException {
		this.name = "front-" + zone + "-" + number;
		this.ip = NETWORK + (10 + number);
		this.front = freePort(this.ip);
		this.ready = freePort(this.ip);
		int control = freePort(this.ip);
		int internal = freePorts(this.ip);
		this.repository = repository;
		this.settings = folder.resolve(this.name + ".json");
		this.log = folder.resolve(this.name + ".log");
		Files.writeString(this.settings, Wire.text("""
				{"nodeName":"%s","role":"entry","machineClass":"front","serves":["front"],"ipAddress":"%s",
				"zone":"%s","region":"r","zones":{"z-a":"r","z-b":"r","z-c":"r"},
				"${listen}":{"front":"%s:%d","ready":"%s:%d","control":"%s:%d"},"internalPorts":[%d,%d],
				"seedAddresses":[],"firstStart":true,"countedInTolerance":false,
				"limits":{"cpuShare":0.51,"cpuCores":1,"memoryMb":352,"fileDescriptors":2069,"linkMbps":490,"diskMb":0},
				"dataDirectory":null,"discovery":"platform","entry":"virtual_ip","heartbeatMs":1200,
				"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"],
				"faultTolerance":{"machines":2,"zones":1,"regions":0},
				"bounds":{%s},
				"${store}":{"address":"%s","form":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,"valueBytes":1048576,"ttlMinMs":1000}}
				"""
			.formatted(this.name, this.ip, zone, this.ip, this.front, this.ip, this.ready, this.ip, control, internal,
					internal + 15, bounds, store)));
	}

	static final String BOUNDS = "\"seedLagS\":3,\"addressReuseS\":2,\"touchMs\":3000,\"ackMs\":4000,\"catchUpS\":4,"
			+ "\"drainMs\":2000,\"gracePeriodS\":8,\"lostSlackMs\":200,\"configApplyMs\":2000,\"backSlackMs\":250,"
			+ "\"outerMs\":5000,\"strictRevocation\":true,\"revokeMs\":5000,\"retryBudgetRatio\":0.2,"
			+ "\"budgetWindowS\":10,\"budgetExtraRetries\":450,\"recoveryS\":12,\"passMs\":120,\"retryAfterS\":0,"
			+ "\"stall_ms\":3000,\"fencingEnforced\":false";

	private static int freePort(String ip) throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
			return socket.getLocalPort();
		}
	}

	private static int freePorts(String ip) throws IOException {
		for (int tries = 0; tries < 50; tries++) {
			int first = ThreadLocalRandom.current().nextInt(10_000, 30_000);
			try (ServerSocket one = new ServerSocket(first, 1, InetAddress.getByName(ip));
					ServerSocket two = new ServerSocket(first + 1, 1, InetAddress.getByName(ip))) {
				return first;
			}
			catch (IOException ex) {
				// Try others.
			}
		}
		throw new IOException("no free ports");
	}

	/** The command of the role in the deploy file. */
	private static List<String> command(Path repository) throws IOException {
		for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
			if (line.startsWith("run")) {
				List<String> words = new ArrayList<>(
						List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
				words.set(0, repository.resolve(words.get(0)).toString());
				return words;
			}
		}
		throw new IOException("no command in the deploy file");
	}

	void start() throws IOException {
		ProcessBuilder builder = new ProcessBuilder(command(this.repository));
		builder.directory(this.repository.toFile());
		builder.environment().keySet().removeIf((name) -> !List.of("PATH", "HOME", "LANG").contains(name));
		builder.environment().put("MEDLARDRUM_SETTINGS", this.settings.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(this.log.toString())));
		this.process = builder.start();
		Process started = this.process;
		Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	int exitCode() {
		return this.process.exitValue();
	}

	long pid() {
		return this.process.pid();
	}

	void kill() throws InterruptedException {
		this.process.destroyForcibly().waitFor();
	}

	boolean waitFor(long ms) throws InterruptedException {
		return this.process.waitFor(ms, TimeUnit.MILLISECONDS);
	}

	void signal(String name) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
	}

	/** Resident memory in MB, now and at its peak. */
	long[] memoryMb() {
		long[] mb = new long[2];
		try {
			for (String line : Files.readAllLines(Path.of("/proc/" + pid() + "/status"))) {
				if (line.startsWith("VmRSS:")) {
					mb[0] = Long.parseLong(line.replaceAll("\\D", "")) / 1024;
				}
				if (line.startsWith("VmHWM:")) {
					mb[1] = Long.parseLong(line.replaceAll("\\D", "")) / 1024;
				}
			}
		}
		catch (IOException ex) {
			// The process has ended.
		}
		return mb;
	}

	boolean isReady() {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(this.ip, this.ready), 500);
			socket.setSoTimeout(1000);
			socket.getOutputStream()
				.write(Http.bytes("GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
			Http.Message answer = Http.read(Http.buffered(socket.getInputStream()), true);
			return answer != null && answer.status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	boolean awaitReady(long ms) throws InterruptedException {
		for (long until = System.nanoTime() + ms * 1_000_000; System.nanoTime() < until; Thread.sleep(50)) {
			if (isReady()) {
				return true;
			}
		}
		return false;
	}

	String logText() throws IOException {
		return Files.readString(this.log);
	}

}
