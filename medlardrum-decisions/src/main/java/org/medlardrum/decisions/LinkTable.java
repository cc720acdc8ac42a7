package org.medlardrum.decisions;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

import org.medlardrum.state.FleetSnapshot;
import org.medlardrum.state.LinkState;

/**
 * Link latencies between the availability zones of one decision. Zones are numbered in
 * the order in which they are first looked up; the deciding host's zone has index 0.
 */
final class LinkTable {

	private final Map<String, Integer> zoneIndexes = new HashMap<>();

	private final FleetSnapshot fleet;

	private double[] latencyUs = new double[0];

	LinkTable(FleetSnapshot fleet) {
		this.fleet = fleet;
		this.zoneIndexes.put(fleet.localAvailabilityZone(), 0);
	}

	int zoneIndex(String availabilityZone) {
		Integer existing = this.zoneIndexes.putIfAbsent(availabilityZone, this.zoneIndexes.size());
		return (existing != null) ? existing : this.zoneIndexes.size() - 1;
	}

	int zoneCount() {
		return this.zoneIndexes.size();
	}

	// Builds the table once all zones have an index. Sending an activation within a zone
	// costs nothing unless the snapshot lists a latency for it.
	void build() {
		int count = this.zoneIndexes.size();
		this.latencyUs = new double[count * count];
		Arrays.fill(this.latencyUs, this.fleet.defaultLinkLatencyUs());
		for (int i = 0; i < count; i++) {
			this.latencyUs[i * count + i] = 0;
		}
		for (LinkState link : this.fleet.links()) {
			int from = this.zoneIndexes.getOrDefault(link.fromAvailabilityZone(), -1);
			int to = this.zoneIndexes.getOrDefault(link.toAvailabilityZone(), -1);
			if (from >= 0 && to >= 0) {
				this.latencyUs[from * count + to] = link.latencyUs();
			}
		}
	}

	double latencyUs(int fromZone, int toZone) {
		return this.latencyUs[fromZone * this.zoneIndexes.size() + toZone];
	}

}
