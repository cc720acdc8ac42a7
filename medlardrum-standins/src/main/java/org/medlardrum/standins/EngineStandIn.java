package org.medlardrum.standins;

import java.util.List;
import java.util.Map;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import org.medlardrum.standins.internal.engine.EngineCore;
import org.medlardrum.standins.internal.engine.GenerateHandler;
import org.medlardrum.standins.internal.engine.KvTransfer;
import org.medlardrum.standins.internal.engine.LedgerEntry;
import org.medlardrum.standins.internal.engine.LoadReporter;
import org.medlardrum.standins.internal.engine.OrderProcessor;
import org.medlardrum.standins.internal.engine.StageHandler;
import org.medlardrum.standins.internal.http.Exchange;
import org.medlardrum.standins.internal.http.HttpEndpoint;
import org.medlardrum.state.BackendServer;
import org.medlardrum.state.BackendServerKind;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.HostState;
import org.tinylog.Logger;

/**
 * Simulated model engine that serves HTTP on 127.0.0.1 and can be made to fail. Example:
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

	private final LoadReporter loadReporter;

	private final GenerateHandler headRunner;

	private final StageHandler stageRunner;

	private final OrderProcessor orderProcessor;

	private final KvTransfer kvTransfer;

	private final HttpEndpoint endpoint;

	private volatile long crashRestartMs;

	/**
	 * Starts an engine that loads weights without a rate limit.
	 * @param settings the settings
	 * @throws IllegalStateException if the port is in use
	 */
	public EngineStandIn(EngineSettings settings) {
		this(settings, new WeightStore(0));
	}

	/**
	 * Starts an engine.
	 * @param settings the settings
	 * @param weights source of the weights, shared by the engines of a process
	 * @throws IllegalStateException if the port is in use
	 */
	public EngineStandIn(EngineSettings settings, WeightStore weights) {
		this.settings = settings;
		this.core = new EngineCore(settings, this::crashDuringRequest);
		this.loadReporter = new LoadReporter(this.core);
		this.headRunner = new GenerateHandler(this.core, this.loadReporter);
		this.stageRunner = new StageHandler(this.core, this.loadReporter);
		this.orderProcessor = new OrderProcessor(this.core, weights);
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
	 * Returns the entry of this engine for the platform's host list.
	 * @return the entry, in the live state
	 */
	public BackendServer hostListEntry() {
		return new BackendServer(this.settings.id(), this.settings.availabilityZone(), address(), this.settings.pool(),
				BackendServerKind.ENGINE, this.settings.accelerator(), HostState.LIVE);
	}

	/**
	 * Simulates a crash: closes all connections, ends all requests in progress without a
	 * response and refuses connections until {@link #restart()}.
	 */
	public void crash() {
		this.endpoint.stop();
		this.core.reset();
		Logger.info("engine: {} crashed, requests in progress ended without a response", this.settings.id());
	}

	/**
	 * Listens on the same port again, with a new boot identifier.
	 */
	public void restart() {
		this.endpoint.start();
	}

	/**
	 * Crashes after the first step of every request whose prompt contains the given text.
	 * @param text text to look for in prompts, empty to crash on none
	 * @param restartMs time until the engine restarts, in milliseconds, 0 to stay down
	 */
	public void crashOnPrompt(String text, long restartMs) {
		this.crashRestartMs = restartMs;
		this.core.faults().crashOnPrompt(text);
	}

	/**
	 * Suspends or resumes all processing; connections stay open.
	 * @param frozen {@code true} to suspend
	 */
	public void setFrozen(boolean frozen) {
		this.core.faults().frozen(frozen);
	}

	/**
	 * Sets the factor by which the duration of each step is multiplied.
	 * @param factor the factor, 1 for normal speed
	 */
	public void setSlowFactor(double factor) {
		this.core.faults().slowFactor(factor);
	}

	/**
	 * Sets whether every request fails immediately.
	 * @param failFast {@code true} to fail requests
	 */
	public void setFailFast(boolean failFast) {
		this.core.faults().failFast(failFast);
	}

	/**
	 * Sets whether the engine refuses new sequences while it completes those in progress.
	 * @param leaving {@code true} to refuse new sequences
	 */
	public void setLeaving(boolean leaving) {
		this.core.faults().leaving(leaving);
	}

	/**
	 * Sets the delay of the link to the next stage of a chain.
	 * @param server id of the server of the next stage, {@code *} for all servers that
	 * have no delay of their own
	 * @param delayUs the delay, in microseconds
	 */
	public void setLinkDelayUs(String server, long delayUs) {
		this.core.faults().linkDelayUs(server, delayUs);
	}

	/**
	 * Returns the executed steps, including those before a crash.
	 * @param request identifier of the request, empty for all
	 * @return the entries, in order of execution
	 */
	public List<LedgerEntry> ledger(String request) {
		return this.core.ledger().entries(request);
	}

	/**
	 * Returns the current load report of the engine.
	 * @return the report
	 */
	public EngineReport report() {
		return this.loadReporter.report();
	}

	@Override
	public void close() {
		this.endpoint.close();
		this.core.reset();
		this.core.faults().frozen(false);
		this.loadReporter.close();
		this.core.caller().close();
	}

	// Handles a control call, received at this engine's address or at the ControlEndpoint
	// of the process.
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
			case "POST /v1/generate" -> this.headRunner.handle(exchange);
			case "POST /v1/stage" -> this.stageRunner.handle(exchange);
			case "POST /v1/cancel" -> cancel(exchange);
			case "GET /v1/load" -> {
				this.core.faults().awaitUnfrozen();
				exchange.sendJson(200, this.loadReporter.report());
			}
			case "GET /v1/cache/events" -> {
				this.core.faults().awaitUnfrozen();
				exchange.sendJson(200, Map.of("events",
						this.core.prefixCache().events(exchange.queryLong("after", 0), System.currentTimeMillis())));
			}
			case "POST /v1/orders" -> this.orderProcessor.handle(exchange);
			case "POST /v1/kv/export" -> this.kvTransfer.exportSequence(exchange);
			case "POST /v1/kv/import" -> this.kvTransfer.importSequence(exchange);
			default -> exchange.sendJson(404, Map.of("error", "no such resource"));
		}
	}

	private void cancel(Exchange exchange) throws Exception {
		this.core.faults().awaitUnfrozen();
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

	private void crashDuringRequest() {
		// The crash interrupts the threads of all requests in progress, including this
		// one, so it has to run on another thread.
		Thread crashThread = crashAndRestart(this.crashRestartMs);
		try {
			crashThread.join();
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
