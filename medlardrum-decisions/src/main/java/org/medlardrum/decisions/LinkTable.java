package org.medlardrum.decisions;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

import org.medlardrum.state.FleetSnapshot;
import org.medlardrum.state.LinkState;

/**
 * Link latencies between the availability zones of one decision. They are numbered in the
 * order in which they are first seen; the deciding host's zone is 0.
 */
final class LinkTable {

	private final Map<String, Integer> numbers = new HashMap<>();

	private final FleetSnapshot fleet;

	private double[] latencyUs = new double[0];

	LinkTable(FleetSnapshot fleet) {
		this.fleet = fleet;
		this.numbers.put(fleet.localAvailabilityZone(), 0);
	}

	int zone(String availabilityZone) {
		Integer known = this.numbers.putIfAbsent(availabilityZone, this.numbers.size());
		return (known != null) ? known : this.numbers.size() - 1;
	}

	int zoneCount() {
		return this.numbers.size();
	}

	// Fills the table once all zones are known. An activation within a zone is free
	// unless the snapshot lists a latency for it.
	void build() {
		int count = this.numbers.size();
		this.latencyUs = new double[count * count];
		Arrays.fill(this.latencyUs, this.fleet.defaultLinkLatencyUs());
		for (int i = 0; i < count; i++) {
			this.latencyUs[i * count + i] = 0;
		}
		for (LinkState link : this.fleet.links()) {
			int from = this.numbers.getOrDefault(link.fromAvailabilityZone(), -1);
			int to = this.numbers.getOrDefault(link.toAvailabilityZone(), -1);
			if (from >= 0 && to >= 0) {
				this.latencyUs[from * count + to] = link.latencyUs();
			}
		}
	}

	double latencyUs(int fromZone, int toZone) {
		return this.latencyUs[fromZone * this.numbers.size() + toZone];
	}

}
