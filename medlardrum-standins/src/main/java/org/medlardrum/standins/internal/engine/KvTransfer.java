package org.medlardrum.standins.internal.engine;

import java.io.IOException;
import java.util.Map;

import com.google.gson.JsonObject;
import org.medlardrum.standins.internal.http.Exchange;

/**
 * Handles {@code POST /v1/kv/export} and {@code POST /v1/kv/import}. The JSON object of
 * an export is the body of the import; the importing engine then needs no prefill for the
 * sequence.
 */
public final class KvTransfer {

	private final EngineCore core;

	/**
	 * Creates a handler.
	 * @param core shared state of the engine
	 */
	public KvTransfer(EngineCore core) {
		this.core = core;
	}

	/**
	 * Exports the sequence of the request in the JSON member {@code request}.
	 * @param exchange the request and its response
	 * @throws IOException if the connection breaks
	 */
	public void exportSequence(Exchange exchange) throws IOException {
		String request = requiredMember(exchange.bodyJson(), "request");
		int tokens = this.core.kvCache().get(request);
		if (tokens < 0) {
			exchange.sendJson(404, Map.of("error", "the sequence is not held"));
			return;
		}
		exchange.sendJson(200, Map.of("request", request, "model", this.core.state().model(), "tokens", tokens,
				"fromLayer", this.core.settings().fromLayer(), "toLayer", this.core.settings().toLayer()));
	}

	/**
	 * Imports an exported sequence.
	 * @param exchange the request and its response
	 * @throws IOException if the connection breaks
	 */
	public void importSequence(Exchange exchange) throws IOException {
		JsonObject json = exchange.bodyJson();
		boolean compatible = requiredMember(json, "model").equals(this.core.state().model())
				&& json.get("fromLayer").getAsInt() <= this.core.settings().fromLayer()
				&& json.get("toLayer").getAsInt() >= this.core.settings().toLayer();
		if (!compatible) {
			exchange.sendJson(409, Map.of("error", "model or layers differ"));
			return;
		}
		this.core.kvCache().put(requiredMember(json, "request"), json.get("tokens").getAsInt());
		exchange.sendJson(200, Map.of());
	}

	private static String requiredMember(JsonObject json, String name) {
		if (!json.has(name)) {
			throw new IllegalArgumentException("Member \"" + name + "\" is missing");
		}
		return json.get(name).getAsString();
	}

}
