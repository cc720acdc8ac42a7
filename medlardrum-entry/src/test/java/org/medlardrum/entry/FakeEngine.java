package org.medlardrum.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.gson.Gson;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.medlardrum.protocol.engine.EngineFrame;
import org.medlardrum.protocol.engine.EngineFrameCodec;
import org.medlardrum.protocol.engine.GenerateRequest;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.LayerRange;

/**
 * Engine that holds all layers and sends the frames of a script, which may be valid or
 * invalid.
 */
final class FakeEngine implements AutoCloseable {

	private static final Gson GSON = new Gson();

	private final String id;

	private final HttpServer server;

	private final AtomicInteger generationCount = new AtomicInteger();

	private final AtomicInteger brokenStreamCount = new AtomicInteger();

	FakeEngine(String id, Script script) throws IOException {
		this.id = id;
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
		this.server.createContext("/v1/load", (exchange) -> send(exchange, GSON.toJson(report())));
		this.server.createContext("/v1/cancel", (exchange) -> send(exchange, "{}"));
		this.server.createContext("/v1/generate", (exchange) -> generate(exchange, script));
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	int generationCount() {
		return this.generationCount.get();
	}

	int brokenStreamCount() {
		return this.brokenStreamCount.get();
	}

	private EngineReport report() {
		return new EngineReport(this.id, "boot", "tally", "1", List.of(), "both", 0, EntryFixture.LAYER_COUNT, 8, 0, 0,
				1, false, false, System.currentTimeMillis());
	}

	private void generate(HttpExchange exchange, Script script) throws IOException {
		this.generationCount.incrementAndGet();
		GenerateRequest request = GSON.fromJson(
				new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8), GenerateRequest.class);
		exchange.sendResponseHeaders(200, 0);
		try (OutputStream out = exchange.getResponseBody()) {
			for (EngineFrame frame : script.frames(request)) {
				out.write((EngineFrameCodec.encode(frame) + "\n").getBytes(StandardCharsets.UTF_8));
				out.flush();
			}
		}
		catch (IOException ex) {
			this.brokenStreamCount.incrementAndGet();
			throw ex;
		}
	}

	private static void send(HttpExchange exchange, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		exchange.sendResponseHeaders(200, bytes.length);
		try (OutputStream out = exchange.getResponseBody()) {
			out.write(bytes);
		}
	}

	// The layer ranges are those of a chain that splits the layers at layer 3; any split
	// is valid that covers each layer once.
	static EngineFrame token(GenerateRequest request, int attempt, int position, String text) {
		return new EngineFrame.Token(request.request(), attempt, position, text,
				List.of(new LayerRange(0, 3), new LayerRange(3, EntryFixture.LAYER_COUNT)));
	}

	static EngineFrame end(GenerateRequest request, int tokenCount) {
		return new EngineFrame.End(request.request(), request.attempt(), tokenCount, "stop", List.of(), List.of());
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	/**
	 * Determines the frames that the engine sends for a request. Each frame is sent
	 * before the next one is taken from the iterator, which may wait.
	 */
	@FunctionalInterface
	interface Script {

		Iterable<EngineFrame> frames(GenerateRequest request);

	}

}
