package org.medlardrum.standins;

import java.io.IOException;
import java.util.Map;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import org.medlardrum.standins.internal.http.Exchange;
import org.medlardrum.standins.internal.http.HttpEndpoint;
import org.medlardrum.standins.internal.platform.CasResult;
import org.medlardrum.standins.internal.platform.Counters;
import org.medlardrum.standins.internal.platform.HostList;
import org.medlardrum.standins.internal.platform.KvStore;
import org.medlardrum.standins.internal.platform.Lease;
import org.medlardrum.standins.internal.platform.PlatformFaults;
import org.medlardrum.standins.internal.platform.RateLimiter;
import org.medlardrum.state.HostDirectory;

/**
 * Simulated key-value store and host list of the platform that serves HTTP on 127.0.0.1
 * and can be made to fail. Example:
 *
 * <pre>{@code
 * try (PlatformStandIn platform = new PlatformStandIn(PlatformSettings.unlimited())) {
 *     platform.loseWriteResponses(1);
 *     connectTo(platform.address());
 * }
 * }</pre>
 *
 * Thread-safe.
 */
public final class PlatformStandIn implements AutoCloseable {

	/** Size limit of a stored value, in bytes. */
	public static final int MAX_VALUE_BYTES = 1024 * 1024;

	private static final Gson GSON = new Gson();

	private static final String KV_PATH = "/v1/kv/";

	private static final String WATCH_PATH = "/v1/watch/";

	private static final String LEASES_PATH = "/v1/leases";

	private final PlatformFaults faults = new PlatformFaults();

	private final Counters counters = new Counters();

	private final KvStore store;

	private final HostList hosts;

	private final RateLimiter writeLimiter;

	private final RateLimiter readLimiter;

	private final HttpEndpoint endpoint;

	private volatile long hostsLagMs;

	/**
	 * Starts the platform.
	 * @param settings the settings
	 * @throws IllegalStateException if the port is in use
	 */
	public PlatformStandIn(PlatformSettings settings) {
		this.store = new KvStore(settings.clock());
		this.hosts = new HostList(settings.clock());
		this.writeLimiter = new RateLimiter(settings.writesPerS());
		this.readLimiter = new RateLimiter(settings.readsPerS());
		this.hostsLagMs = settings.hostsLagMs();
		this.endpoint = new HttpEndpoint(settings.port(), this::handle);
		this.endpoint.start();
	}

	/**
	 * Returns the address of the HTTP interface.
	 * @return {@code ip:port}
	 */
	public String address() {
		return this.endpoint.address();
	}

	/**
	 * Replaces the host list. Readers see the change after the host list delay.
	 * @param directory the hosts; the given revision is ignored
	 * @return the list with its assigned revision
	 */
	public HostDirectory setHosts(HostDirectory directory) {
		return this.hosts.set(directory, this.hostsLagMs);
	}

	/**
	 * Sets the delay until readers see later changes of the host list.
	 * @param lagMs the delay, in milliseconds
	 */
	public void setHostsLagMs(long lagMs) {
		this.hostsLagMs = lagMs;
	}

	/**
	 * Starts or ends an outage, during which every call gets a 503 response.
	 * @param outage {@code true} to start the outage
	 */
	public void setOutage(boolean outage) {
		this.faults.outage(outage);
	}

	/**
	 * Sets the time added to each call.
	 * @param delayMs the delay, in milliseconds
	 */
	public void setDelayMs(long delayMs) {
		this.faults.delayMs(delayMs);
	}

	/**
	 * Sets the age of the state that reads and lists return.
	 * @param staleByMs age of the state, in milliseconds, 0 for the current state
	 */
	public void setReadStaleness(long staleByMs) {
		this.faults.staleByMs(staleByMs);
	}

	/**
	 * Closes the connection instead of responding to the next writes that succeed.
	 * @param count number of writes
	 */
	public void loseWriteResponses(int count) {
		this.faults.loseWriteResponses(count);
	}

	/**
	 * Expires a lease early and removes its keys.
	 * @param id identifier of the lease, {@code *} for all
	 */
	public void expireLease(String id) {
		this.store.expireLease(id);
	}

	/**
	 * Returns the store to an older copy and begins a new era. All that was written since
	 * is lost, leases too.
	 * @param ageMs least age of the copy, in milliseconds
	 */
	public void restoreCopy(long ageMs) {
		this.store.restore(ageMs);
		this.counters.add("restores", 1);
	}

	/**
	 * Returns the counts of calls by type and outcome.
	 * @return values by name
	 */
	public Map<String, Long> counters() {
		return this.counters.values();
	}

	/**
	 * Closes all connections and refuses new ones until {@link #restart()}. Stored state
	 * is kept.
	 */
	public void stop() {
		this.endpoint.stop();
	}

	/**
	 * Listens on the same port again.
	 */
	public void restart() {
		this.endpoint.start();
	}

	@Override
	public void close() {
		this.faults.outage(true);
		this.endpoint.close();
	}

	private void handle(Exchange exchange) throws Exception {
		String path = exchange.path();
		if (path.startsWith("/control/")) {
			control(exchange, path);
			return;
		}
		if (this.faults.delayMs() > 0) {
			Thread.sleep(this.faults.delayMs());
		}
		if (this.faults.outage()) {
			sendUnavailable(exchange);
			return;
		}
		boolean write = !"GET".equals(exchange.method());
		this.counters.add((write) ? "writes" : "reads", 1);
		if (!((write) ? this.writeLimiter : this.readLimiter).tryAcquire()) {
			this.counters.add("rateLimited", 1);
			exchange.sendJson(429, Map.of("error", "rate limit exceeded"));
			return;
		}
		if (write) {
			write(exchange, path);
		}
		else {
			read(exchange, path);
		}
	}

	private void read(Exchange exchange, String path) throws IOException, InterruptedException {
		if (path.startsWith(KV_PATH)) {
			this.counters.add("gets", 1);
			sendOrNotFound(exchange, this.store.get(path.substring(KV_PATH.length()), this.faults.staleByMs()));
		}
		else if (path.startsWith(WATCH_PATH)) {
			watch(exchange, path.substring(WATCH_PATH.length()));
		}
		else if (path.equals("/v1/list")) {
			this.counters.add("lists", 1);
			exchange.sendJson(200, this.store.list(exchange.query("prefix", ""), this.faults.staleByMs()));
		}
		else if (path.equals("/v1/hosts")) {
			hosts(exchange);
		}
		else {
			exchange.sendJson(404, Map.of("error", "no such resource"));
		}
	}

	private void watch(Exchange exchange, String key) throws IOException, InterruptedException {
		this.counters.add("watches", 1);
		this.counters.add("waitingWatches", 1);
		try {
			sendWatchResult(exchange, this.store.watch(key, exchange.queryLong("after", 0),
					exchange.queryLong("era", 0), exchange.queryLong("waitMs", 0), this.faults::outage));
		}
		finally {
			this.counters.add("waitingWatches", -1);
		}
	}

	private void hosts(Exchange exchange) throws IOException, InterruptedException {
		this.counters.add("hosts", 1);
		sendWatchResult(exchange,
				this.hosts.read(exchange.queryLong("after", 0), exchange.queryLong("waitMs", 0), this.faults::outage));
	}

	private void sendWatchResult(Exchange exchange, Object value) throws IOException {
		if (value == null && this.faults.outage()) {
			sendUnavailable(exchange);
		}
		else {
			sendOrNotFound(exchange, value);
		}
	}

	private void write(Exchange exchange, String path) throws IOException {
		if (path.startsWith(KV_PATH) && "PUT".equals(exchange.method())) {
			put(exchange, path.substring(KV_PATH.length()));
		}
		else if (path.equals(LEASES_PATH)) {
			createLease(exchange);
		}
		else if (path.startsWith(LEASES_PATH + "/") && path.endsWith("/renew")) {
			String id = path.substring(LEASES_PATH.length() + 1, path.length() - "/renew".length());
			Lease lease = this.store.renewLease(id);
			sendWriteResult(exchange, (lease != null) ? 200 : 404,
					(lease != null) ? lease : Map.of("error", "no lease"));
		}
		else {
			exchange.sendJson(404, Map.of("error", "no such resource"));
		}
	}

	private void put(Exchange exchange, String key) throws IOException {
		long expectedRevision = exchange.queryLong("expect", -1);
		if (expectedRevision < 0) {
			exchange.sendJson(400, Map.of("error", "expect is missing or negative"));
		}
		else if (exchange.bodyBytes().length > MAX_VALUE_BYTES) {
			exchange.sendJson(413, Map.of("error", "value exceeds " + MAX_VALUE_BYTES + " bytes"));
		}
		else {
			switch (this.store.compareAndSet(key, expectedRevision, exchange.queryLong("era", this.store.era()),
					exchange.body(), exchange.query("lease", null))) {
				case CasResult.Written written -> sendWriteResult(exchange, 200, written.entry());
				case CasResult.Conflict conflict -> {
					this.counters.add("conflicts", 1);
					exchange.sendJson(409, (conflict.current() != null) ? conflict.current() : "null");
				}
				case CasResult.LeaseNotFound leaseNotFound -> exchange.sendJson(404, Map.of("error", "no lease"));
			}
		}
	}

	private void createLease(Exchange exchange) throws IOException {
		JsonObject body = exchange.bodyJson();
		long ttlMs = body.has("ttlMs") ? body.get("ttlMs").getAsLong() : exchange.queryLong("ttlMs", 0);
		sendWriteResult(exchange, 200, this.store.createLease(ttlMs));
	}

	private void sendWriteResult(Exchange exchange, int status, Object value) throws IOException {
		if (status == 200 && this.faults.consumeLostWriteResponse()) {
			this.counters.add("lostResponses", 1);
			exchange.abort();
			throw new IOException("response discarded by the loseWriteResponses fault");
		}
		exchange.sendJson(status, value);
	}

	private void sendOrNotFound(Exchange exchange, Object value) throws IOException {
		exchange.sendJson((value != null) ? 200 : 404, (value != null) ? value : Map.of("error", "not found"));
	}

	private void sendUnavailable(Exchange exchange) throws IOException {
		this.counters.add("unavailable", 1);
		exchange.sendJson(503, Map.of("error", "outage"));
	}

	private void control(Exchange exchange, String path) throws IOException {
		switch (exchange.method() + " " + path) {
			case "PUT /control/hosts" ->
				exchange.sendJson(200, setHosts(GSON.fromJson(exchange.body(), HostDirectory.class)));
			case "GET /control/hosts" -> exchange.sendJson(200, this.hosts.latest());
			case "GET /control/counters" -> exchange.sendJson(200, counters());
			case "POST /control/faults" -> {
				applyFaults(exchange.bodyJson());
				exchange.sendJson(200, Map.of());
			}
			default -> exchange.sendJson(404, Map.of("error", "no such control"));
		}
	}

	private void applyFaults(JsonObject json) {
		for (String name : json.keySet()) {
			switch (name) {
				case "outage" -> setOutage(json.get(name).getAsBoolean());
				case "delayMs" -> setDelayMs(json.get(name).getAsLong());
				case "staleByMs" -> setReadStaleness(json.get(name).getAsLong());
				case "loseWriteResponses" -> loseWriteResponses(json.get(name).getAsInt());
				case "expireLease" -> expireLease(json.get(name).getAsString());
				case "restoreCopyAgeMs" -> restoreCopy(json.get(name).getAsLong());
				case "hostsLagMs" -> setHostsLagMs(json.get(name).getAsLong());
				default -> throw new IllegalArgumentException("Unknown fault \"" + name + "\"");
			}
		}
	}

}
