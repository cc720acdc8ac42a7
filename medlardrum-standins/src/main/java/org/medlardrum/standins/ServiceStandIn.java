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
 * Stand-in for a plain service, over HTTP on 127.0.0.1. It takes any method and path and
 * counts the executions by idempotency key and body. Example:
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

	private final AtomicInteger lostResponses = new AtomicInteger();

	private final AtomicInteger running = new AtomicInteger();

	private final Map<ExecutionCount, Integer> executions = new LinkedHashMap<>();

	private volatile long delayMs;

	private volatile boolean leaving;

	private volatile String bootId = UUID.randomUUID().toString();

	/**
	 * Starts a plain service.
	 * @param settings the settings
	 * @throws IllegalStateException if the port is taken
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
	 * Returns the entry of this server in the platform's host list.
	 * @return the entry, in state live
	 */
	public BackendServer hostListEntry() {
		return new BackendServer(this.settings.id(), this.settings.availabilityZone(), address(), this.settings.pool(),
				BackendServerKind.SERVICE, "", HostState.LIVE);
	}

	/**
	 * Closes the connection instead of answering the next calls, after executing them.
	 * @param count number of calls
	 */
	public void loseResponses(int count) {
		this.lostResponses.set(count);
	}

	/**
	 * Sets the time of one call.
	 * @param value the time, in milliseconds
	 */
	public void setDelayMs(long value) {
		this.delayMs = value;
	}

	/**
	 * Makes the service refuse calls with 503 and {@code Medlardrum-Not-Run: true}.
	 * @param value {@code true} to refuse
	 */
	public void setLeaving(boolean value) {
		this.leaving = value;
	}

	/**
	 * Closes all connections and refuses new ones until {@link #restart()}.
	 */
	public void crash() {
		this.endpoint.stop();
		this.bootId = UUID.randomUUID().toString();
	}

	/**
	 * Listens again on the same port, with another boot identifier than before the crash.
	 */
	public void restart() {
		this.endpoint.start();
	}

	/**
	 * Returns the executions, kept across crashes.
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

	// Handles a control call of this server's own or of its process's control address.
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
		this.running.incrementAndGet();
		this.slots.acquire();
		int count;
		try {
			synchronized (this.executions) {
				if (this.executions.size() >= MAX_EXECUTIONS) {
					throw new IOException("more than " + MAX_EXECUTIONS + " different calls");
				}
				count = this.executions.merge(call, 1, Integer::sum);
			}
			Thread.sleep(this.delayMs);
		}
		finally {
			this.slots.release();
			this.running.decrementAndGet();
		}
		if (this.lostResponses.getAndUpdate((left) -> Math.max(0, left - 1)) > 0) {
			exchange.abort();
			throw new IOException("response lost on request");
		}
		exchange.sendJson(200, Map.of("server", this.settings.id(), "path", path, "execution", count));
	}

	private EngineReport report() {
		int now = this.running.get();
		int served = Math.min(now, this.settings.slots());
		return new EngineReport(this.settings.id(), this.bootId, "", "", List.of(), "", 0, 0, this.settings.slots(),
				served, now - served, 0, this.leaving, false, System.currentTimeMillis());
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
