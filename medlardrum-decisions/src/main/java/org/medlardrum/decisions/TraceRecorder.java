package org.medlardrum.decisions;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.gson.JsonObject;
import org.medlardrum.state.FleetSnapshot;

/**
 * Formats decisions as lines of a trace. {@link TraceReplayer} documents the format and
 * replays traces. The caller writes the lines in the order of the decisions. <pre>{@code
 * long seed = random.nextLong();
 * ChainDecision decision = planner.plan(query, fleet, new SplittableRandom(seed));
 * trace.add(recorder.fleet(fleet));
 * trace.add(recorder.chain(seed, query, Map.of(), decision));
 * }</pre>
 */
public final class TraceRecorder {

	/**
	 * Formats the fleet on which the following chain decisions are based.
	 * @param fleet the fleet
	 * @return a line
	 */
	public String fleet(FleetSnapshot fleet) {
		JsonObject line = line("fleet");
		line.add("fleet", TraceFormat.GSON.toJsonTree(fleet));
		return TraceFormat.GSON.toJson(line);
	}

	/**
	 * Formats a chain decision.
	 * @param seed seed of the {@link java.util.SplittableRandom} that the planner was
	 * given
	 * @param query the request
	 * @param cachedTokens tokens of the prompt that engines had cached, by engine id
	 * @param decision the decision
	 * @return a line
	 */
	public String chain(long seed, ChainQuery query, Map<String, Integer> cachedTokens, ChainDecision decision) {
		JsonObject line = line("chain");
		line.addProperty("seed", seed);
		line.add("query", TraceFormat.GSON.toJsonTree(query));
		line.add("cachedTokens", TraceFormat.GSON.toJsonTree(cachedTokens));
		line.add("outcome", TraceFormat.outcome(decision));
		return TraceFormat.GSON.toJson(line);
	}

	/**
	 * Formats the limits of a pool's admission queue, on creation of the queue and when
	 * they change.
	 * @param pool name of the pool
	 * @param limits the limits
	 * @return a line
	 */
	public String limits(String pool, AdmissionLimits limits) {
		JsonObject line = line("limits", pool);
		line.add("limits", TraceFormat.GSON.toJsonTree(limits));
		return TraceFormat.GSON.toJson(line);
	}

	/**
	 * Formats an offer.
	 * @param pool name of the pool
	 * @param work the work
	 * @param nowMs current time, in milliseconds
	 * @param decision the decision
	 * @return a line
	 */
	public String offer(String pool, Work work, long nowMs, AdmissionDecision decision) {
		JsonObject line = line("offer", pool);
		line.addProperty("nowMs", nowMs);
		line.add("work", TraceFormat.GSON.toJsonTree(work));
		line.add("outcome", TraceFormat.outcome(decision));
		return TraceFormat.GSON.toJson(line);
	}

	/**
	 * Formats a poll.
	 * @param pool name of the pool
	 * @param nowMs current time, in milliseconds
	 * @param started the work that was started
	 * @return a line
	 */
	public String poll(String pool, long nowMs, Optional<Work> started) {
		JsonObject line = line("poll", pool);
		line.addProperty("nowMs", nowMs);
		line.add("outcome", TraceFormat.started(started));
		return TraceFormat.GSON.toJson(line);
	}

	/**
	 * Formats the removal of expired work.
	 * @param pool name of the pool
	 * @param nowMs current time, in milliseconds
	 * @param expired the work that was removed
	 * @return a line
	 */
	public String expire(String pool, long nowMs, List<Work> expired) {
		JsonObject line = line("expire", pool);
		line.addProperty("nowMs", nowMs);
		line.add("outcome", TraceFormat.expired(expired));
		return TraceFormat.GSON.toJson(line);
	}

	/**
	 * Formats a cancellation.
	 * @param pool name of the pool
	 * @param id identifier of the work
	 * @param cancelled whether the work was queued
	 * @return a line
	 */
	public String cancel(String pool, long id, boolean cancelled) {
		JsonObject line = line("cancel", pool);
		line.addProperty("id", id);
		line.add("outcome", TraceFormat.cancelled(cancelled));
		return TraceFormat.GSON.toJson(line);
	}

	/**
	 * Formats the end of running work.
	 * @param pool name of the pool
	 * @param id identifier of the work
	 * @param actualCost cost that was actually used
	 * @param nowMs current time, in milliseconds
	 * @return a line
	 */
	public String finish(String pool, long id, double actualCost, long nowMs) {
		JsonObject line = line("finish", pool);
		line.addProperty("nowMs", nowMs);
		line.addProperty("id", id);
		line.addProperty("actualCost", actualCost);
		return TraceFormat.GSON.toJson(line);
	}

	private static JsonObject line(String type) {
		JsonObject line = new JsonObject();
		line.addProperty("type", type);
		return line;
	}

	private static JsonObject line(String type, String pool) {
		JsonObject line = line(type);
		line.addProperty("pool", pool);
		return line;
	}

}
