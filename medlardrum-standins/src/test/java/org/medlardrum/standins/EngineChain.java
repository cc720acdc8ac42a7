package org.medlardrum.standins;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;

import com.google.gson.Gson;
import org.medlardrum.protocol.engine.EngineFrame;
import org.medlardrum.protocol.engine.EngineFrameCodec;
import org.medlardrum.protocol.engine.GenerateRequest;
import org.medlardrum.state.Rank;
import org.medlardrum.state.Stage;

/**
 * Chain of engines among which the layers of a model are split evenly. Requests are sent
 * to the first engine.
 */
class EngineChain implements AutoCloseable {

	static final int LAYERS = 6;

	private static final long DEADLINE_MS = 60_000;

	private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final List<EngineStandIn> engines = new ArrayList<>();

	EngineChain(int stages, int slots, long layerTimeUs) {
		for (int i = 0; i < stages; i++) {
			this.engines.add(new EngineStandIn(
					EngineSettings.of("e" + i, "tally", LAYERS * i / stages, LAYERS * (i + 1) / stages)
						.withSpeed(slots, layerTimeUs)));
		}
	}

	EngineStandIn engine(int index) {
		return this.engines.get(index);
	}

	GenerateRequest request(String id, int attempt, String prompt, List<String> emitted, int maxTokens, Rank rank) {
		List<Stage> chain = this.engines.stream()
			.map((engine) -> new Stage(engine.settings().id(), engine.address(), engine.settings().fromLayer(),
					engine.settings().toLayer()))
			.toList();
		return new GenerateRequest(id, attempt, "tally", "", "", prompt, emitted, maxTokens, rank, DEADLINE_MS, LAYERS,
				chain);
	}

	List<EngineFrame> generate(GenerateRequest request) throws InterruptedException {
		List<EngineFrame> frames = new ArrayList<>();
		try (InputStream body = openStream(request);
				BufferedReader lines = new BufferedReader(new InputStreamReader(body))) {
			String line;
			while ((line = lines.readLine()) != null) {
				frames.add(EngineFrameCodec.decode(line));
			}
		}
		catch (IOException ex) {
			// The connection broke: the result is the frames received so far, and the
			// test detects the failure by the missing end frame.
		}
		return frames;
	}

	InputStream openStream(GenerateRequest request) throws IOException, InterruptedException {
		HttpRequest post = HttpRequest
			.newBuilder(URI.create("http://" + this.engines.get(0).address() + "/v1/generate"))
			.POST(HttpRequest.BodyPublishers.ofString(new Gson().toJson(request)))
			.build();
		return CLIENT.send(post, HttpResponse.BodyHandlers.ofInputStream()).body();
	}

	static List<String> tokenTexts(List<EngineFrame> frames) {
		return frames.stream()
			.filter(EngineFrame.Token.class::isInstance)
			.map((frame) -> ((EngineFrame.Token) frame).text())
			.toList();
	}

	@Override
	public void close() {
		this.engines.forEach(EngineStandIn::close);
	}

}
