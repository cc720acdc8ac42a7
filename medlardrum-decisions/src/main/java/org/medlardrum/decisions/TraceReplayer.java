package org.medlardrum.decisions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.reflect.TypeToken;
import org.medlardrum.state.FleetSnapshot;

/**
 * Replays recorded decisions and compares the outcomes with the recorded ones. A trace
 * has one JSON object per line; {@code type} is the type of the line:
 * <ul>
 * <li>{@code fleet}: {@code fleet} (a {@link FleetSnapshot}) for the chain decisions that
 * follow.</li>
 * <li>{@code chain}: {@code seed} of the {@link SplittableRandom}, {@code query} (a
 * {@link ChainQuery}), optional {@code cachedTokens} by engine id. The {@code outcome}
 * has either {@code stages} (a list of {@code server}, {@code fromLayer},
 * {@code toLayer}) or {@code noChain} (the reason) and {@code retryAfterMs}.</li>
 * <li>{@code limits}: {@code pool} and {@code limits} (an {@link AdmissionLimits}). The
 * first one creates the pool's empty queue, later ones update it.</li>
 * <li>{@code offer}: {@code pool}, {@code nowMs}, {@code work} (a {@link Work}). The
 * {@code outcome} has either {@code acceptedWaitMs} or {@code refused} (the reason) and
 * {@code retryAfterMs}.</li>
 * <li>{@code poll}: {@code pool}, {@code nowMs}. The {@code outcome} has {@code started}
 * (the identifier of the work), or is an empty object when no work was started.</li>
 * <li>{@code expire}: {@code pool}, {@code nowMs}. The {@code outcome} has
 * {@code expired}, a list of ids.</li>
 * <li>{@code cancel}: {@code pool}, {@code id}. The {@code outcome} has
 * {@code cancelled}.</li>
 * <li>{@code finish}: {@code pool}, {@code nowMs}, {@code id}, {@code actualCost}; no
 * outcome.</li>
 * </ul>
 * Enumerations have their configuration names, for example {@code "urgent"}. The suffix
 * of a time gives its unit: {@code Ms} for milliseconds, {@code Us} for microseconds.
 * {@link TraceRecorder} writes this format.
 */
public final class TraceReplayer {

	/**
	 * Replays a trace from an empty state.
	 * @param lines the trace; empty lines are skipped
	 * @return the number of decisions and the mismatches; a line that cannot be read or
	 * replayed counts as a mismatch
	 */
	public ReplayReport replay(Iterable<String> lines) {
		Replay replay = new Replay();
		int number = 0;
		int decisions = 0;
		List<ReplayReport.Mismatch> mismatches = new ArrayList<>();
		for (String text : lines) {
			number++;
			if (text.isBlank()) {
				continue;
			}
			String expected = text;
			String actual;
			try {
				JsonObject line = JsonParser.parseString(text).getAsJsonObject();
				JsonObject outcome = replay.apply(line);
				if (outcome == null) {
					continue;
				}
				decisions++;
				JsonElement recorded = line.get("outcome");
				actual = outcome.toString();
				if (JsonParser.parseString(actual).equals(recorded)) {
					continue;
				}
				expected = String.valueOf(recorded);
			}
			// Gson and the constructors of Java records throw many kinds of exceptions on
			// malformed input. The planner and the queue throw them as well, for example
			// when a work id is repeated.
			catch (RuntimeException ex) {
				actual = "unreadable line: " + ex;
			}
			mismatches.add(new ReplayReport.Mismatch(number, expected, actual));
		}
		return new ReplayReport(decisions, mismatches);
	}

	private static final class Replay {

		private final Map<String, AdmissionQueue> queues = new HashMap<>();

		private FleetSnapshot fleet;

		// Returns the outcome, null for types of lines that have none.
		JsonObject apply(JsonObject line) {
			String type = line.get("type").getAsString();
			if (type.equals("fleet")) {
				this.fleet = TraceFormat.GSON.fromJson(line.get("fleet"), FleetSnapshot.class);
				return null;
			}
			if (type.equals("chain")) {
				return replayChain(line);
			}
			String pool = line.get("pool").getAsString();
			if (type.equals("limits")) {
				setLimits(pool, TraceFormat.GSON.fromJson(line.get("limits"), AdmissionLimits.class));
				return null;
			}
			AdmissionQueue queue = this.queues.get(pool);
			if (queue == null) {
				throw new IllegalArgumentException("no limits precede the first use of pool " + pool);
			}
			return applyToQueue(type, line, queue);
		}

		private JsonObject replayChain(JsonObject line) {
			if (this.fleet == null) {
				throw new IllegalArgumentException("no fleet precedes the chain decision");
			}
			Map<String, Integer> cachedTokens = new HashMap<>();
			if (line.has("cachedTokens")) {
				cachedTokens = TraceFormat.GSON.fromJson(line.get("cachedTokens"),
						new TypeToken<Map<String, Integer>>() {
						});
			}
			Map<String, Integer> cached = cachedTokens;
			WeightedRandomPlanner planner = new WeightedRandomPlanner(
					(server, prefix) -> cached.getOrDefault(server, 0));
			ChainQuery query = TraceFormat.GSON.fromJson(line.get("query"), ChainQuery.class);
			SplittableRandom random = new SplittableRandom(line.get("seed").getAsLong());
			return TraceFormat.outcome(planner.plan(query, this.fleet, random));
		}

		private void setLimits(String pool, AdmissionLimits limits) {
			AdmissionQueue queue = this.queues.get(pool);
			if (queue != null) {
				queue.update(limits);
			}
			else {
				this.queues.put(pool, new AdmissionQueue(limits));
			}
		}

		private JsonObject applyToQueue(String type, JsonObject line, AdmissionQueue queue) {
			if (type.equals("cancel")) {
				return TraceFormat.cancelled(queue.cancel(line.get("id").getAsLong()));
			}
			long nowMs = line.get("nowMs").getAsLong();
			switch (type) {
				case "offer" -> {
					Work work = TraceFormat.GSON.fromJson(line.get("work"), Work.class);
					return TraceFormat.outcome(queue.offer(work, nowMs));
				}
				case "poll" -> {
					return TraceFormat.started(queue.poll(nowMs));
				}
				case "expire" -> {
					return TraceFormat.expired(queue.expire(nowMs));
				}
				case "finish" -> {
					queue.finish(line.get("id").getAsLong(), line.get("actualCost").getAsDouble(), nowMs);
					return null;
				}
				default -> throw new IllegalArgumentException("unknown type " + type);
			}
		}

	}

}
