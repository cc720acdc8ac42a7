package org.medlardrum.entry.internal.host;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import org.medlardrum.decisions.ChainDecision;
import org.medlardrum.decisions.ChainQuery;
import org.medlardrum.decisions.TraceRecorder;
import org.medlardrum.state.FleetSnapshot;

/**
 * Recent chain decisions, for replay, and the history of recent requests, for operators.
 * Both are bounded. Safe for use by several threads.
 */
public final class Traces {

	private static final int MAX_DECISIONS = 64;

	private static final int MAX_REQUESTS = 2048;

	/** Bounds the history of a request that is retried many times. */
	private static final int MAX_EVENTS = 64;

	private static final Gson GSON = new Gson();

	private final Deque<TracedDecision> decisions = new ArrayDeque<>();

	private final Map<String, List<TraceEvent>> requests = new LinkedHashMap<>();

	private final Map<String, String> requestsByCallerId = new LinkedHashMap<>();

	/**
	 * Records a chain decision.
	 * @param query the request
	 * @param fleet the engines
	 * @param seed seed of the random source
	 * @param decision the decision
	 */
	public synchronized void recordDecision(ChainQuery query, FleetSnapshot fleet, long seed, ChainDecision decision) {
		if (this.decisions.size() >= MAX_DECISIONS) {
			this.decisions.removeFirst();
		}
		this.decisions.addLast(new TracedDecision(query, fleet, seed, decision));
		add(query.request(), new TraceEvent.Planned(System.currentTimeMillis(), decision));
	}

	/**
	 * Records an event of a request.
	 * @param request identifier of the request
	 * @param event short name of the event
	 * @param detail technical detail without content of the caller
	 */
	public synchronized void recordEvent(String request, String event, String detail) {
		add(request, new TraceEvent.Note(System.currentTimeMillis(), event, detail));
	}

	/**
	 * Records the identifier that the caller gave.
	 * @param callerId identifier from the caller
	 * @param request identifier of the request
	 */
	public synchronized void recordCallerId(String callerId, String request) {
		this.requestsByCallerId.remove(callerId);
		this.requestsByCallerId.put(callerId, request);
		removeOldest(this.requestsByCallerId);
	}

	/**
	 * Returns the history of a request.
	 * @param id identifier of the request, the router's or the caller's
	 * @return the events as JSON text
	 */
	public synchronized Optional<String> explain(String id) {
		String request = this.requestsByCallerId.getOrDefault(id, id);
		List<TraceEvent> events = this.requests.get(request);
		if (events == null) {
			return Optional.empty();
		}
		JsonObject json = new JsonObject();
		json.addProperty("request", request);
		JsonArray history = new JsonArray();
		events.forEach((event) -> history.add(json(event)));
		json.add("events", history);
		return Optional.of(json.toString());
	}

	/**
	 * Returns the recent chain decisions.
	 * @return one JSON object a line, as the trace replayer reads it
	 */
	public String decisionLines() {
		List<TracedDecision> copy;
		synchronized (this) {
			copy = List.copyOf(this.decisions);
		}
		TraceRecorder recorder = new TraceRecorder();
		StringBuilder lines = new StringBuilder();
		for (TracedDecision traced : copy) {
			lines.append(recorder.fleet(traced.fleet())).append('\n');
			lines.append(recorder.chain(traced.seed(), traced.query(), Map.of(), traced.decision())).append('\n');
		}
		return lines.toString();
	}

	private static JsonObject json(TraceEvent event) {
		JsonObject json = new JsonObject();
		json.addProperty("atMs", event.atMs());
		switch (event) {
			case TraceEvent.Note note -> {
				json.addProperty("event", note.event());
				json.addProperty("detail", note.detail());
			}
			case TraceEvent.Planned planned -> {
				json.addProperty("event", "chain");
				json.add("decision", GSON.toJsonTree(planned.decision()));
			}
		}
		return json;
	}

	private void add(String request, TraceEvent event) {
		List<TraceEvent> events = this.requests.computeIfAbsent(request, (id) -> new ArrayList<>());
		if (events.size() < MAX_EVENTS) {
			events.add(event);
		}
		removeOldest(this.requests);
	}

	private static void removeOldest(Map<String, ?> map) {
		if (map.size() > MAX_REQUESTS) {
			map.remove(map.keySet().iterator().next());
		}
	}

	private record TracedDecision(ChainQuery query, FleetSnapshot fleet, long seed, ChainDecision decision) {
	}

}
