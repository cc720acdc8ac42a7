package org.medlardrum.standins;

import java.util.List;
import java.util.Map;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import org.medlardrum.standins.internal.engine.EngineCore;
import org.medlardrum.standins.internal.engine.HeadRunner;
import org.medlardrum.standins.internal.engine.KvTransfer;
import org.medlardrum.standins.internal.engine.LedgerEntry;
import org.medlardrum.standins.internal.engine.LoadReporter;
import org.medlardrum.standins.internal.engine.OrderProcessor;
import org.medlardrum.standins.internal.engine.StageRunner;
import org.medlardrum.standins.internal.http.Exchange;
import org.medlardrum.standins.internal.http.HttpEndpoint;
import org.medlardrum.state.BackendServer;
import org.medlardrum.state.BackendServerKind;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.HostState;
import org.tinylog.Logger;

/**
 * Stand-in for a model engine, over HTTP on 127.0.0.1. Example:
 *
 * <pre>{@code
 * try (EngineStandIn engine = new EngineStandIn(EngineSettings.of("e1", "tally", 0, 12))) {
 *     engine.crash();
 *     engine.restart();
 * }
 * }</pre>
 *
 * Thread-safe.
 */
public final class EngineStandIn implements AutoCloseable {

	private final EngineSettings settings;

	private final EngineCore core;

	private final LoadReporter reporter;

	private final HeadRunner head;

	private final StageRunner stage;

	private final OrderProcessor orders;

	private final KvTransfer kvTransfer;

	private final HttpEndpoint endpoint;

	private volatile long crashRestartMs;

	/**
	 * Starts an engine that loads weights without a rate limit.
	 * @param settings the settings
	 * @throws IllegalStateException if the port is taken
	 */
	public EngineStandIn(EngineSettings settings) {
		this(settings, new WeightStore(0));
	}

	/**
	 * Starts an engine.
	 * @param settings the settings
	 * @param weights source of the weights
	 * @throws IllegalStateException if the port is taken
	 */
	public EngineStandIn(EngineSettings settings, WeightStore weights) {
		this.settings = settings;
		this.core = new EngineCore(settings, this::crashFromRequest);
		this.reporter = new LoadReporter(this.core);
		this.head = new HeadRunner(this.core, this.reporter);
		this.stage = new StageRunner(this.core, this.reporter);
		this.orders = new OrderProcessor(this.core, weights);
		this.kvTransfer = new KvTransfer(this.core);
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
	 * Returns the settings.
	 * @return the settings
	 */
	public EngineSettings settings() {
		return this.settings;
	}

	/**
	 * Returns the entry of this engine in the platform's host list.
	 * @return the entry, in state live
	 */
	public BackendServer hostListEntry() {
		return new BackendServer(this.settings.id(), this.settings.availabilityZone(), address(), this.settings.pool(),
				BackendServerKind.ENGINE, this.settings.accelerator(), HostState.LIVE);
	}

	/**
	 * Closes all connections, ends all running requests without a response and refuses
	 * connections until {@link #restart()}.
	 */
	public void crash() {
		this.endpoint.stop();
		this.core.reset();
		Logger.info("engine: {} crashed", this.settings.id());
	}

	/**
	 * Listens again on the same port, with another boot identifier than before the crash.
	 */
	public void restart() {
		this.endpoint.start();
	}

	/**
	 * Crashes after the first step of each prompt with the given text.
	 * @param text the text, empty for none
	 * @param restartMs time until the engine starts again, in milliseconds, 0 to stay
	 * down
	 */
	public void crashOnPrompt(String text, long restartMs) {
		this.crashRestartMs = restartMs;
		this.core.faults().crashOnPrompt(text);
	}

	/**
	 * Stops or resumes all processing while connections stay open.
	 * @param frozen {@code true} to stop
	 */
	public void setFrozen(boolean frozen) {
		this.core.faults().frozen(frozen);
	}

	/**
	 * Sets the factor by which each step takes longer.
	 * @param factor the factor, 1 for normal speed
	 */
	public void setSlowFactor(double factor) {
		this.core.faults().slowFactor(factor);
	}

	/**
	 * Makes every request fail immediately.
	 * @param failFast {@code true} to fail
	 */
	public void setFailFast(boolean failFast) {
		this.core.faults().failFast(failFast);
	}

	/**
	 * Makes the engine refuse new sequences and finish the running ones.
	 * @param leaving {@code true} to refuse
	 */
	public void setLeaving(boolean leaving) {
		this.core.faults().leaving(leaving);
	}

	/**
	 * Sets the delay of the link to a successor.
	 * @param server id of the successor, {@code *} for all without an own delay
	 * @param delayUs the delay, in microseconds
	 */
	public void setLinkDelayUs(String server, long delayUs) {
		this.core.faults().linkDelayUs(server, delayUs);
	}

	/**
	 * Returns the record of executions, kept across crashes.
	 * @param request identifier of the request, empty for all
	 * @return the entries in the order of execution
	 */
	public List<LedgerEntry> ledger(String request) {
		return this.core.ledger().entries(request);
	}

	/**
	 * Returns the report that the engine would send now.
	 * @return the report
	 */
	public EngineReport report() {
		return this.reporter.report();
	}

	@Override
	public void close() {
		this.endpoint.close();
		this.core.reset();
		this.core.faults().frozen(false);
		this.reporter.close();
		this.core.caller().close();
	}

	// Handles a control call of this engine's own or of its process's control address.
	void control(Exchange exchange, String path) throws Exception {
		switch (exchange.method() + " " + path) {
			case "GET /control/ledger" -> exchange.sendJson(200, ledger(exchange.query("request", "")));
			case "POST /control/state" -> {
				exchange.bodyJson().asMap().forEach(this::applyControl);
				exchange.sendJson(200, Map.of());
			}
			case "POST /control/crash" -> {
				long restartMs = exchange.queryLong("restartAfterMs", 0);
				exchange.sendJson(200, Map.of());
				crashAndRestart(restartMs);
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
			return;
		}
		switch (exchange.method() + " " + path) {
			case "POST /v1/generate" -> this.head.handle(exchange);
			case "POST /v1/stage" -> this.stage.handle(exchange);
			case "POST /v1/cancel" -> cancel(exchange);
			case "GET /v1/load" -> {
				this.core.faults().awaitThawed();
				exchange.sendJson(200, this.reporter.report());
			}
			case "GET /v1/cache/events" -> {
				this.core.faults().awaitThawed();
				exchange.sendJson(200, Map.of("events",
						this.core.prefixCache().events(exchange.queryLong("after", 0), System.currentTimeMillis())));
			}
			case "POST /v1/orders" -> this.orders.handle(exchange);
			case "POST /v1/kv/export" -> this.kvTransfer.exportSequence(exchange);
			case "POST /v1/kv/import" -> this.kvTransfer.importSequence(exchange);
			default -> exchange.sendJson(404, Map.of("error", "no such resource"));
		}
	}

	private void cancel(Exchange exchange) throws Exception {
		this.core.faults().awaitThawed();
		JsonObject json = exchange.bodyJson();
		if (!json.has("request")) {
			throw new IllegalArgumentException("Member \"request\" is missing");
		}
		int attempt = json.has("attempt") ? json.get("attempt").getAsInt() : 0;
		exchange.sendJson(200, Map.of("cancelled", this.core.cancel(json.get("request").getAsString(), attempt)));
	}

	private void applyControl(String name, JsonElement value) {
		switch (name) {
			case "frozen" -> setFrozen(value.getAsBoolean());
			case "slowFactor" -> setSlowFactor(value.getAsDouble());
			case "failFast" -> setFailFast(value.getAsBoolean());
			case "leaving" -> setLeaving(value.getAsBoolean());
			case "crashOnPrompt" -> this.core.faults().crashOnPrompt(value.getAsString());
			case "crashRestartMs" -> {
				this.crashRestartMs = value.getAsLong();
			}
			case "linkDelayUs" -> value.getAsJsonObject().asMap().forEach(this::applyLinkDelay);
			default -> throw new IllegalArgumentException("Unknown control \"" + name + "\"");
		}
	}

	private void applyLinkDelay(String server, JsonElement delayUs) {
		setLinkDelayUs(server, delayUs.getAsLong());
	}

	private void crashFromRequest() {
		// The crash interrupts the calling thread, so that it must run on another one.
		Thread crasher = crashAndRestart(this.crashRestartMs);
		try {
			crasher.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private Thread crashAndRestart(long restartMs) {
		return Thread.ofVirtual().start(() -> {
			crash();
			if (restartMs > 0) {
				Thread.ofVirtual().start(() -> restartAfter(restartMs));
			}
		});
	}

	private void restartAfter(long restartMs) {
		try {
			Thread.sleep(restartMs);
			restart();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
