package org.medlardrum.standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.gson.JsonElement;
import org.medlardrum.standins.internal.http.Exchange;
import org.medlardrum.standins.internal.http.HttpEndpoint;
import org.medlardrum.standins.internal.service.ExecutionCount;
import org.medlardrum.state.BackendServer;
import org.medlardrum.state.BackendServerKind;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.HostState;

/**
 * Simulated plain service that serves HTTP on 127.0.0.1 and can be made to fail. It
 * accepts any method and path and counts the executions by idempotency key, method, path
 * and body. Example:
 *
 * <pre>{@code
 * try (ServiceStandIn service = new ServiceStandIn(ServiceSettings.of("registry-1"))) {
 *     service.loseResponses(1);
 *     callTwice(service.address());
 *     int count = service.executions().get(0).count();
 * }
 * }</pre>
 *
 * Thread-safe.
 */
public final class ServiceStandIn implements AutoCloseable {

	private static final int MAX_EXECUTIONS = 200_000;

	private final ServiceSettings settings;

	private final HttpEndpoint endpoint;

	private final Semaphore slots;

	private final AtomicInteger responsesToLose = new AtomicInteger();

	private final AtomicInteger activeCalls = new AtomicInteger();

	private final Map<ExecutionCount, Integer> executions = new LinkedHashMap<>();

	private volatile long delayMs;

	private volatile boolean leaving;

	private volatile String bootId = UUID.randomUUID().toString();

	/**
	 * Starts a plain service.
	 * @param settings the settings
	 * @throws IllegalStateException if the port is in use
	 */
	public ServiceStandIn(ServiceSettings settings) {
		this.settings = settings;
		this.delayMs = settings.delayMs();
		this.slots = new Semaphore(settings.slots(), true);
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
	 * Returns the entry of this server for the platform's host list.
	 * @return the entry, in the live state
	 */
	public BackendServer hostListEntry() {
		return new BackendServer(this.settings.id(), this.settings.availabilityZone(), address(), this.settings.pool(),
				BackendServerKind.SERVICE, "", HostState.LIVE);
	}

	/**
	 * Executes the next calls, but closes the connection instead of responding to them.
	 * @param count number of calls
	 */
	public void loseResponses(int count) {
		this.responsesToLose.set(count);
	}

	/**
	 * Sets the execution time of one call.
	 * @param value the execution time, in milliseconds
	 */
	public void setDelayMs(long value) {
		this.delayMs = value;
	}

	/**
	 * Sets whether the service refuses calls with 503 and
	 * {@code Medlardrum-Not-Run: true}.
	 * @param value {@code true} to refuse calls
	 */
	public void setLeaving(boolean value) {
		this.leaving = value;
	}

	/**
	 * Simulates a crash: closes all connections and refuses new ones until
	 * {@link #restart()}.
	 */
	public void crash() {
		this.endpoint.stop();
		this.bootId = UUID.randomUUID().toString();
	}

	/**
	 * Listens on the same port again, with the new boot identifier that the crash
	 * assigned.
	 */
	public void restart() {
		this.endpoint.start();
	}

	/**
	 * Returns the number of executions of each call, including those before a crash.
	 * @return one entry for each combination of key, method, path and body
	 */
	public List<ExecutionCount> executions() {
		synchronized (this.executions) {
			List<ExecutionCount> counted = new ArrayList<>();
			this.executions.forEach((call, count) -> counted
				.add(new ExecutionCount(call.key(), call.method(), call.path(), call.body(), count)));
			return counted;
		}
	}

	@Override
	public void close() {
		this.endpoint.close();
	}

	// Handles a control call, received at this server's address or at the ControlEndpoint
	// of the process.
	void control(Exchange exchange, String path) throws Exception {
		switch (exchange.method() + " " + path) {
			case "GET /control/executions" -> exchange.sendJson(200, executions());
			case "POST /control/state" -> {
				exchange.bodyJson().asMap().forEach(this::applyControl);
				exchange.sendJson(200, Map.of());
			}
			case "POST /control/crash" -> {
				long restartMs = exchange.queryLong("restartAfterMs", 0);
				exchange.sendJson(200, Map.of());
				Thread.ofVirtual().start(() -> crashAndRestart(restartMs));
			}
			case "POST /control/restart" -> {
				restart();
				exchange.sendJson(200, Map.of());
			}
			default -> exchange.sendJson(404, Map.of("error", "no such control"));
		}
	}

	private void handle(Exchange exchange) throws Exception {
		String path = exchange.path();
		if (path.startsWith("/control/")) {
			control(exchange, path);
		}
		else if (path.equals("/v1/load")) {
			exchange.sendJson(200, report());
		}
		else if (this.leaving) {
			exchange.responseHeader("Medlardrum-Not-Run", "true");
			exchange.sendJson(503, Map.of("error", "the service is about to stop"));
		}
		else {
			execute(exchange, path);
		}
	}

	private void execute(Exchange exchange, String path) throws IOException, InterruptedException {
		String key = exchange.header("Idempotency-Key");
		ExecutionCount call = new ExecutionCount((key != null) ? key : "", exchange.method(), path, exchange.body(), 0);
		this.activeCalls.incrementAndGet();
		this.slots.acquire();
		int count;
		try {
			synchronized (this.executions) {
				if (this.executions.size() >= MAX_EXECUTIONS) {
					throw new IOException("execution counts are full: already " + MAX_EXECUTIONS + " different calls");
				}
				count = this.executions.merge(call, 1, Integer::sum);
			}
			Thread.sleep(this.delayMs);
		}
		finally {
			this.slots.release();
			this.activeCalls.decrementAndGet();
		}
		if (this.responsesToLose.getAndUpdate((left) -> Math.max(0, left - 1)) > 0) {
			exchange.abort();
			throw new IOException("response discarded by the loseResponses fault");
		}
		exchange.sendJson(200, Map.of("server", this.settings.id(), "path", path, "execution", count));
	}

	private EngineReport report() {
		int active = this.activeCalls.get();
		int executing = Math.min(active, this.settings.slots());
		return new EngineReport(this.settings.id(), this.bootId, "", "", List.of(), "", 0, 0, this.settings.slots(),
				executing, active - executing, 0, this.leaving, false, System.currentTimeMillis());
	}

	private void applyControl(String name, JsonElement value) {
		switch (name) {
			case "loseResponses" -> loseResponses(value.getAsInt());
			case "delayMs" -> setDelayMs(value.getAsLong());
			case "leaving" -> setLeaving(value.getAsBoolean());
			default -> throw new IllegalArgumentException("Unknown control \"" + name + "\"");
		}
	}

	private void crashAndRestart(long restartMs) {
		crash();
		if (restartMs <= 0) {
			return;
		}
		try {
			Thread.sleep(restartMs);
			restart();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
