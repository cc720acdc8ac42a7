package org.medlardrum.entry.internal.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.medlardrum.state.LinkState;
import org.medlardrum.state.config.LinkConfig;

/**
 * Latencies of the links between availability zones: the configured values, adjusted by
 * measurements of the stages. Owned by the fleet thread.
 */
final class LinkLatencies {

	/** Latency within a zone and of links that are neither configured nor measured. */
	static final long DEFAULT_LATENCY_US = 200;

	private static final double MEASUREMENT_WEIGHT = 0.2;

	/**
	 * Time constant of the exponential decay of a measured latency to the configured one,
	 * so that a link that was avoided as slow is tried again.
	 */
	private static final double DECAY_MS = 30_000;

	private final Map<Link, Long> configuredUs = new HashMap<>();

	private final Map<Link, Measurement> measurements = new HashMap<>();

	void configure(List<LinkConfig> links) {
		this.configuredUs.clear();
		for (LinkConfig link : links) {
			this.configuredUs.put(new Link(link.from(), link.to()), link.latencyUs());
			this.configuredUs.put(new Link(link.to(), link.from()), link.latencyUs());
		}
	}

	long configuredUs(String from, String to) {
		return this.configuredUs.getOrDefault(new Link(from, to), DEFAULT_LATENCY_US);
	}

	void recordMeasurement(String from, String to, double latencyUs, long nowMs) {
		Link link = new Link(from, to);
		double previousUs = latencyUs(link, nowMs);
		this.measurements.put(link, new Measurement(previousUs + MEASUREMENT_WEIGHT * (latencyUs - previousUs), nowMs));
	}

	List<LinkState> states(long nowMs) {
		List<LinkState> states = new ArrayList<>();
		this.configuredUs.forEach(
				(link, latencyUs) -> states.add(new LinkState(link.from(), link.to(), roundedLatencyUs(link, nowMs))));
		this.measurements.keySet()
			.stream()
			.filter((link) -> !this.configuredUs.containsKey(link))
			.forEach((link) -> states.add(new LinkState(link.from(), link.to(), roundedLatencyUs(link, nowMs))));
		return states;
	}

	private long roundedLatencyUs(Link link, long nowMs) {
		return Math.round(latencyUs(link, nowMs));
	}

	private double latencyUs(Link link, long nowMs) {
		double base = this.configuredUs.getOrDefault(link, DEFAULT_LATENCY_US);
		Measurement measurement = this.measurements.get(link);
		if (measurement == null) {
			return base;
		}
		return base + (measurement.latencyUs() - base) * Math.exp(-(nowMs - measurement.atMs()) / DECAY_MS);
	}

	private record Link(String from, String to) {
	}

	private record Measurement(double latencyUs, long atMs) {
	}

}
