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
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An entry host, started with the command of the deploy file.
 */
final class HostProcess implements AutoCloseable {

	/** First part of the hosts' addresses, so that cases which run beside each other differ. */
	private static final String NETWORK = "127." + (1 + ProcessHandle.current().pid() / 250 % 250) + '.'
			+ (1 + ProcessHandle.current().pid() % 250) + '.';

	private final ProcessBuilder builder;

	private final Path settings;

	private Process process;

	private final String ip;

	private final int callerPort;

	private final int readyPort;

	/**
	 * Starts a host.
	 * @param number number of the host, which is the last part of its address
	 * @param store address of the store
	 * @param folder folder for the settings and the output
	 * @throws IOException if it cannot be started
	 */
	HostProcess(int number, String store, Path folder) throws IOException {
		this(number, "zone-a", store, folder);
	}

	/**
	 * Starts a host.
	 * @param number number of the host, which is the last part of its address
	 * @param zone its availability zone
	 * @param store address of the store
	 * @param folder folder for the settings and the output
	 * @throws IOException if it cannot be started
	 */
	HostProcess(int number, String zone, String store, Path folder) throws IOException {
		this.ip = NETWORK + number;
		this.callerPort = freePort(this.ip);
		this.readyPort = freePort(this.ip);
		int peerPort = freePort(this.ip);
		this.settings = folder.resolve("settings-" + number + ".json");
		Files.writeString(this.settings,
				Names.template("settings.json", "host", "host-" + number, "zone", zone, "ip", this.ip, "callerPort", this.callerPort,
						"readyPort", this.readyPort, "controlPort", freePort(this.ip), "peerPort", peerPort,
						"lastPeerPort", peerPort + 1, "store", store));
		this.builder = new ProcessBuilder(command());
		Map<String, String> environment = this.builder.environment();
		environment.keySet().removeIf((name) -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(name));
		environment.put("MEDLARDRUM_SETTINGS", this.settings.toString());
		File output = folder.resolve("host-" + number + ".log").toFile();
		this.builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output));
		this.process = this.builder.start();
		Runtime.getRuntime().addShutdownHook(new Thread(() -> this.process.destroyForcibly()));
	}

	void kill() {
		this.process.destroyForcibly();
	}

	/**
	 * Starts the host again after it has ended, as the platform does.
	 * @throws Exception if it cannot be started
	 */
	void restart() throws Exception {
		this.process.waitFor();
		Files.writeString(this.settings,
				Files.readString(this.settings).replace("\"firstStart\": true", "\"firstStart\": false"));
		this.process = this.builder.start();
	}

	/**
	 * Waits until the host answers requests of callers, ready or not.
	 * @param timeoutMs longest wait
	 * @throws Exception if it does not
	 */
	void awaitServing(long timeoutMs) throws Exception {
		long endNs = System.nanoTime() + timeoutMs * 1_000_000;
		while (System.nanoTime() < endNs) {
			try (Socket socket = connect()) {
				return;
			}
			catch (IOException ex) {
				Thread.sleep(20);
			}
		}
		throw new IllegalStateException("The host does not listen");
	}

	private static List<String> command() throws IOException {
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("deploy/system.toml names no command");
		}
		return new ArrayList<>(List.of(run.group(1).split(" +")));
	}

	private static int freePort(String ip) throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
			return socket.getLocalPort();
		}
	}

	Socket connect() throws IOException {
		Socket socket = new Socket();
		socket.setTcpNoDelay(true);
		socket.connect(new InetSocketAddress(this.ip, this.callerPort), 1_000);
		return socket;
	}

	boolean isReady() {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(this.ip, this.readyPort), 500);
			socket.setSoTimeout(500);
			Http.write(socket.getOutputStream(), "GET " + Names.get("path.readiness") + " HTTP/1.1", new byte[0], "Host",
					this.ip);
			return Http.read(socket.getInputStream()).status() == 200;
		}
		catch (IOException | RuntimeException ex) {
			return false;
		}
	}

	void awaitReady(long timeoutMs) throws InterruptedException {
		long endNs = System.nanoTime() + timeoutMs * 1_000_000;
		while (!isReady()) {
			if (System.nanoTime() > endNs || !this.process.isAlive()) {
				throw new IllegalStateException("The host is not ready");
			}
			Thread.sleep(100);
		}
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	void terminate() {
		this.process.destroy();
	}

	/**
	 * Returns the memory that the process occupies, as the platform measures it.
	 * @return the largest resident size so far, in MB
	 */
	long peakMegabytes() {
		try {
			Matcher peak = Pattern.compile("VmHWM:\\s+(\\d+) kB")
				.matcher(Files.readString(Path.of("/proc/" + this.process.pid() + "/status")));
			return (peak.find()) ? Long.parseLong(peak.group(1)) / 1024 : 0;
		}
		catch (IOException ex) {
			return 0;
		}
	}

	@Override
	public void close() {
		this.process.destroyForcibly();
		try {
			this.process.waitFor(5, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
