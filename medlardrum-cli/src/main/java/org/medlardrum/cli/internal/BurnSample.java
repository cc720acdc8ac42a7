package org.medlardrum.cli.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;

/**
 * Request counters of one entry host at one time; one line of the samples file.
 *
 * @param atMs time of the scrape, in Unix milliseconds
 * @param host admin address of the host
 * @param counters values since the start of the host, by what they count
 */
record BurnSample(long atMs, String host, Map<Key, Double> counters) {

	static final String WITHIN_TARGET = "within-target";

	private static final String REQUESTS_METRIC = "medlardrum_requests_total";

	private static final String WITHIN_TARGET_METRIC = "medlardrum_requests_within_target_total";

	static Optional<BurnSample> scrape(long atMs, String host, AdminResponse response) {
		if (!response.isOk()) {
			return Optional.empty();
		}
		Map<Key, Double> counters = new HashMap<>();
		List<PrometheusText.MetricSample> requests = PrometheusText.samplesOf(response.body(), REQUESTS_METRIC);
		requests.forEach((sample) -> counters.merge(
				new Key(sample.label("rank"), sample.label("organisation"), sample.label("outcome")), sample.value(),
				Double::sum));
		List<PrometheusText.MetricSample> within = PrometheusText.samplesOf(response.body(), WITHIN_TARGET_METRIC);
		within.forEach(
				(sample) -> counters.merge(new Key(sample.label("rank"), sample.label("organisation"), WITHIN_TARGET),
						sample.value(), Double::sum));
		return Optional.of(new BurnSample(atMs, host, counters));
	}

	String toLine() {
		JsonArray values = new JsonArray();
		this.counters.forEach((key, value) -> {
			JsonArray counter = new JsonArray();
			counter.add(key.rank());
			counter.add(key.organisation());
			counter.add(key.outcome());
			counter.add(value);
			values.add(counter);
		});
		JsonObject json = new JsonObject();
		json.addProperty("atMs", this.atMs);
		json.addProperty("host", this.host);
		json.add("counters", values);
		return json.toString();
	}

	static Optional<BurnSample> fromLine(String line) {
		try {
			JsonObject json = JsonParser.parseString(line).getAsJsonObject();
			Map<Key, Double> counters = new HashMap<>();
			for (JsonElement element : json.getAsJsonArray("counters")) {
				JsonArray counter = element.getAsJsonArray();
				counters.put(new Key(counter.get(0).getAsString(), counter.get(1).getAsString(),
						counter.get(2).getAsString()), counter.get(3).getAsDouble());
			}
			return Optional.of(new BurnSample(json.get("atMs").getAsLong(), json.get("host").getAsString(), counters));
		}
		catch (JsonParseException | IllegalStateException | NullPointerException | UnsupportedOperationException
				| NumberFormatException | ClassCastException | IndexOutOfBoundsException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Identifies a counter.
	 *
	 * @param rank rank of the requests
	 * @param organisation organisation that sent them
	 * @param outcome outcome, or {@link #WITHIN_TARGET}
	 */
	record Key(String rank, String organisation, String outcome) {
	}

}
