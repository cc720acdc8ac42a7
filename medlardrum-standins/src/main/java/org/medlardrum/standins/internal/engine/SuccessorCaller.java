package org.medlardrum.standins.internal.engine;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import io.servicetalk.http.api.HttpResponse;
import org.medlardrum.protocol.engine.EngineFrame;
import org.medlardrum.protocol.engine.StageRequest;
import org.medlardrum.state.Stage;

/**
 * Calls the next stage of a chain over persistent connections.
 */
final class SuccessorCaller {

	private static final Gson GSON = new Gson();

	private final EngineCore core;

	SuccessorCaller(EngineCore core) {
		this.core = core;
	}

	// Runs the remaining stages of a chain. The duration of the first of them includes
	// the delay of the link to it.
	StageResult call(StageRequest request, StageHints hints) throws StageFailure, InterruptedException {
		Stage next = request.chain().get(0);
		long startNs = System.nanoTime();
		long linkDelayUs = this.core.faults().linkDelayUs(next.server());
		if (linkDelayUs > 0) {
			TimeUnit.MICROSECONDS.sleep(linkDelayUs);
		}
		String json = GSON.toJson(StageRequestWithHints.of(request, hints));
		StageResult result = decode(next, send(next, json, request.deadlineMs()));
		List<Long> timesUs = new ArrayList<>(result.stageTimesUs());
		long laterStagesUs = timesUs.stream().skip(1).mapToLong(Long::longValue).sum();
		timesUs.set(0, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs) - laterStagesUs);
		return new StageResult(result.request(), result.attempt(), result.position(), result.activation(),
				result.layers(), timesUs, result.loads());
	}

	private HttpResponse send(Stage next, String json, long deadlineMs) throws StageFailure, InterruptedException {
		long timeoutMs = this.core.settings().stageTimeoutMs();
		try {
			return this.core.httpClient()
				.post(next.address(), "/v1/stage", json,
						(timeoutMs > 0) ? Math.min(timeoutMs, deadlineMs) : deadlineMs);
		}
		catch (TimeoutException ex) {
			throw new StageFailure(next.server(), "stage-failed", "no response in time");
		}
		catch (ExecutionException | IOException ex) {
			Throwable cause = (ex.getCause() != null) ? ex.getCause() : ex;
			throw new StageFailure(next.server(), "stage-failed", cause.getClass().getSimpleName());
		}
	}

	private StageResult decode(Stage next, HttpResponse response) throws StageFailure {
		try {
			String body = response.payloadBody().toString(StandardCharsets.UTF_8);
			StageResult result = GSON.fromJson(body, StageResult.class);
			if (result != null && result.layers() != null && response.status().code() == 200) {
				return result;
			}
			EngineFrame.Error error = GSON.fromJson(body, EngineFrame.Error.class);
			if (error != null && error.server() != null && error.code() != null) {
				throw new StageFailure(error.server(), error.code(), error.detail());
			}
		}
		catch (JsonParseException ex) {
			throw new StageFailure(next.server(), "stage-failed", "malformed response");
		}
		throw new StageFailure(next.server(), "stage-failed", "HTTP status " + response.status().code());
	}

}
