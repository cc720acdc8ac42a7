package org.medlardrum.decisions;

import java.util.List;
import java.util.Optional;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import org.medlardrum.state.Stage;

/**
 * JSON representation of outcomes, shared by {@link TraceRecorder} and
 * {@link TraceReplayer}.
 */
final class TraceFormat {

	static final Gson GSON = new GsonBuilder().enableComplexMapKeySerialization().disableHtmlEscaping().create();

	private TraceFormat() {
	}

	static JsonObject outcome(ChainDecision decision) {
		JsonObject outcome = new JsonObject();
		switch (decision) {
			case ChainDecision.Chosen chosen -> {
				JsonArray stages = new JsonArray();
				for (Stage stage : chosen.chain().stages()) {
					JsonObject object = new JsonObject();
					object.addProperty("server", stage.server());
					object.addProperty("fromLayer", stage.fromLayer());
					object.addProperty("toLayer", stage.toLayer());
					stages.add(object);
				}
				outcome.add("stages", stages);
			}
			case ChainDecision.NoChain none -> {
				outcome.addProperty("noChain", none.reason());
				outcome.addProperty("retryAfterMs", none.retryAfterMs());
			}
		}
		return outcome;
	}

	static JsonObject outcome(AdmissionDecision decision) {
		JsonObject outcome = new JsonObject();
		switch (decision) {
			case AdmissionDecision.Accepted accepted ->
				outcome.addProperty("acceptedWaitMs", accepted.expectedWaitMs());
			case AdmissionDecision.Refused refused -> {
				outcome.addProperty("refused", refused.reason());
				outcome.addProperty("retryAfterMs", refused.retryAfterMs());
			}
		}
		return outcome;
	}

	static JsonObject started(Optional<Work> work) {
		JsonObject outcome = new JsonObject();
		work.ifPresent((started) -> outcome.addProperty("started", started.id()));
		return outcome;
	}

	static JsonObject expired(List<Work> expiredWork) {
		JsonArray ids = new JsonArray();
		expiredWork.forEach((work) -> ids.add(work.id()));
		JsonObject outcome = new JsonObject();
		outcome.add("expired", ids);
		return outcome;
	}

	static JsonObject cancelled(boolean cancelled) {
		JsonObject outcome = new JsonObject();
		outcome.addProperty("cancelled", cancelled);
		return outcome;
	}

}
