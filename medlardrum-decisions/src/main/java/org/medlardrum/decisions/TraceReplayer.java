package org.medlardrum.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import org.medlardrum.state.FleetSnapshot;

/**
 * Replays recorded decisions against their stated outcomes.
 */
public final class TraceReplayer {

	private final Gson gson = new Gson();

	/**
	 * Replays a trace.
	 * @param lines the trace, one JSON object a line
	 * @return the mismatches
	 */
	public ReplayReport replay(Iterable<String> lines) {
		int number = 0;
		int decisions = 0;
		List<ReplayReport.Mismatch> mismatches = new ArrayList<>();
		for (String line : lines) {
			number++;
			try {
				JsonObject record = JsonParser.parseString(line).getAsJsonObject();
				ChainDecision decision = new ChainPlanner().plan(
						this.gson.fromJson(record.get("query"), ChainQuery.class),
						this.gson.fromJson(record.get("fleet"), FleetSnapshot.class),
						new SplittableRandom(record.get("seed").getAsLong()));
				decisions++;
				String actual = this.gson.toJson(decision);
				String expected = record.get("outcome").toString();
				if (!JsonParser.parseString(actual).equals(record.get("outcome"))) {
					mismatches.add(new ReplayReport.Mismatch(number, expected, actual));
				}
			}
			catch (JsonParseException | IllegalStateException | IllegalArgumentException | NullPointerException ex) {
				mismatches.add(new ReplayReport.Mismatch(number, line, "unreadable: " + ex.getMessage()));
			}
		}
		return new ReplayReport(decisions, mismatches);
	}

}
