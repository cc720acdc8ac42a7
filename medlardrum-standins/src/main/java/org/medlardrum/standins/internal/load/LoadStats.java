package org.medlardrum.standins.internal.load;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

import com.google.gson.JsonObject;

/**
 * Statistics of a run: in total, by rank, by organisation and by phase, and by rank and
 * organisation within each phase. Thread-safe.
 */
final class LoadStats {

	private final List<Phase> phases;

	private final Map<String, GroupStats> groups = new ConcurrentSkipListMap<>();

	private final Map<String, LongAdder> deliveredCost = new ConcurrentSkipListMap<>();

	private final Map<String, LongAdder> completedCost = new ConcurrentSkipListMap<>();

	LoadStats(List<Phase> phases) {
		this.phases = phases;
	}

	void forEachGroup(Arrival arrival, Consumer<GroupStats> action) {
		String rank = "rank/" + arrival.route().rank().wireName();
		String organisation = "organisation/" + arrival.route().organisation();
		String phase = "phase/" + arrival.phase().name();
		for (String name : List.of("total", rank, organisation, phase, phase + "/" + rank,
				phase + "/" + organisation)) {
			action.accept(this.groups.computeIfAbsent(name, (key) -> new GroupStats()));
		}
	}

	// Counts the cost in the phase in which it was delivered, not in that of the arrival.
	void recordDelivered(MixRoute route, long atNs, long cost) {
		addCost(this.deliveredCost, route, atNs, cost);
	}

	void recordCompleted(MixRoute route, long atNs, long cost) {
		addCost(this.completedCost, route, atNs, cost);
	}

	JsonObject toJson() {
		JsonObject json = new JsonObject();
		JsonObject groupsJson = new JsonObject();
		this.groups.forEach((name, group) -> groupsJson.add(name, group.toJson()));
		json.add("groups", groupsJson);
		json.add("completedCostPerS", costsPerS(this.completedCost));
		json.add("deliveredCostPerS", costsPerS(this.deliveredCost));
		return json;
	}

	private void addCost(Map<String, LongAdder> costs, MixRoute route, long atNs, long cost) {
		String phase = phaseAt(atNs);
		if (phase == null) {
			return;
		}
		for (String name : List.of("phase/" + phase, "phase/" + phase + "/rank/" + route.rank().wireName(),
				"phase/" + phase + "/organisation/" + route.organisation())) {
			costs.computeIfAbsent(name, (key) -> new LongAdder()).add(cost);
		}
	}

	private String phaseAt(long atNs) {
		long endNs = 0;
		for (Phase phase : this.phases) {
			endNs += phase.durationMs() * 1_000_000;
			if (atNs < endNs) {
				return phase.name();
			}
		}
		return null;
	}

	private JsonObject costsPerS(Map<String, LongAdder> costs) {
		JsonObject json = new JsonObject();
		costs.forEach((name, cost) -> {
			String phase = name.split("/")[1];
			double durationS = this.phases.stream()
				.filter((candidate) -> candidate.name().equals(phase))
				.mapToLong(Phase::durationMs)
				.sum() / 1000.0;
			json.addProperty(name, cost.sum() / durationS);
		});
		return json;
	}

}
