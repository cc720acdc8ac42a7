package org.medlardrum.standins;

import java.util.List;

import com.google.gson.Gson;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.medlardrum.protocol.engine.EngineOrder;
import org.medlardrum.state.EngineReport;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an engine that reports a model before its weights are loaded, ignores
 * the transfer rate of the weight store, or runs a prefill for an imported sequence.
 */
@Timeout(120)
class EngineOrdersTests {

	private static final double ONE_HOUR_US = 3_600_000_000.0;

	private EngineStandIn engine;

	@AfterEach
	void close() {
		this.engine.close();
	}

	@Test
	void engineHoldsNoModelUntilTheWeightsHaveArrived() throws Exception {
		start(new WeightStore(1));
		order(1, "ledger");
		awaitModel("");
		// The transfer of 600 bytes at 1 byte per second is still in progress.
		assertThat(this.engine.report().model()).isEmpty();
	}

	@Test
	void engineServesTheOrderedModelAndAdaptersAfterTheTransfer() throws Exception {
		start(new WeightStore(1_000_000));
		order(1, "ledger");
		awaitModel("ledger");
		while (!this.engine.report().adapters().equals(List.of("night"))) {
			Thread.sleep(1);
		}
		assertThat(this.engine.report().version()).isEqualTo("2");
	}

	@Test
	void crashLosesTheOrderedModel() throws Exception {
		start(new WeightStore(0));
		order(1, "ledger");
		awaitModel("ledger");
		this.engine.crash();
		this.engine.restart();
		assertThat(this.engine.report().model()).isEqualTo("tally");
	}

	@Test
	void importedSequenceNeedsNoPrefill() throws Exception {
		start(new WeightStore(0));
		TestHttp http = new TestHttp(this.engine.address());
		http.post("/v1/kv/import",
				"{\"request\":\"r1\",\"model\":\"tally\",\"tokens\":2,\"fromLayer\":0,\"toLayer\":6}");
		List<String> tokens = new TokenFunction("tally", "", "a b").tokens(6, 8);
		String body = """
				{"request":"r1","attempt":2,"model":"tally","prompt":"a b","emitted":%s,"maxTokens":8,
				 "priority":"urgent","deadlineMs":60000,"layerCount":6,
				 "chain":[{"server":"e","address":"%s","fromLayer":0,"toLayer":6}]}"""
			.formatted(new Gson().toJson(tokens.subList(0, 2)), this.engine.address());
		// Without the import, the prefill of one prompt word would take six hours: one
		// for each layer.
		assertThat(http.post("/v1/generate", body)).isEqualTo(200);
		assertThat(http.body()).contains("\"position\":7");
		assertThat(http.post("/v1/kv/export", "{\"request\":\"r1\"}")).isEqualTo(200);
		assertThat(http.json().get("tokens").getAsInt()).isEqualTo(8);
	}

	private void start(WeightStore weights) {
		this.engine = new EngineStandIn(EngineSettings.of("e", "tally", 0, 6).withSpeed(2, 50).with((json) -> {
			json.addProperty("layerWeightBytes", 100);
			json.addProperty("prefillLayerTimeUs", ONE_HOUR_US);
		}), weights);
	}

	private void order(long fencingToken, String model) throws InterruptedException {
		String order = new Gson().toJson(new EngineOrder(fencingToken, "o", model, "2", List.of("night"), "both"));
		assertThat(new TestHttp(this.engine.address()).post("/v1/orders", order)).isEqualTo(202);
	}

	private void awaitModel(String model) throws InterruptedException {
		EngineReport report = this.engine.report();
		while (!report.model().equals(model)) {
			Thread.sleep(1);
			report = this.engine.report();
		}
	}

}
