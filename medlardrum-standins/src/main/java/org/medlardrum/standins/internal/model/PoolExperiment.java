package org.medlardrum.standins.internal.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Replays one load under several routing policies and reports the results as the callers
 * of the requests see them. Example:
 *
 * <pre>
 * PoolExperiment.run(experiment, PoolExperiment.POLICIES).lines().forEach(System.out::println);
 * </pre>
 */
public final class PoolExperiment {

	/**
	 * Interval between the gossip digests of a host, in milliseconds, as in the gateway.
	 */
	private static final long DIGEST_INTERVAL_MS = 300;

	/**
	 * Minimum interval between the digests that a host sends at once for a new suspicion,
	 * in milliseconds, as in the gateway.
	 */
	private static final long MIN_URGENT_DIGEST_INTERVAL_MS = 60;

	/**
	 * The baseline, then the product's routing decisions with one more feature enabled in
	 * each policy. The flags are, in this order, {@code failsOverOnStall},
	 * {@code usesSuspicions}, {@code randomFailoverZone} and {@code keepsOriginalChain}.
	 */
	public static final List<RoutingPolicy> POLICIES = List.of(new RoutingPolicy.NearestChain("nearest"),
			new RoutingPolicy.ChainSearching("search", DIGEST_INTERVAL_MS, 0, false, false, false, false),
			new RoutingPolicy.ChainSearching("move", DIGEST_INTERVAL_MS, 0, true, false, false, false),
			new RoutingPolicy.ChainSearching("move-keep", DIGEST_INTERVAL_MS, 0, true, false, false, true),
			new RoutingPolicy.ChainSearching("move-keep-suspect", DIGEST_INTERVAL_MS, MIN_URGENT_DIGEST_INTERVAL_MS,
					true, true, false, true),
			new RoutingPolicy.ChainSearching("product", DIGEST_INTERVAL_MS, MIN_URGENT_DIGEST_INTERVAL_MS, true, true,
					true, true));

	/** Length of the time window of each point of the plot, in milliseconds. */
	private static final double WINDOW_MS = 1_000;

	private final ExperimentFile experiment;

	private final Map<String, List<StreamResult>> results;

	private PoolExperiment(ExperimentFile experiment, Map<String, List<StreamResult>> results) {
		this.experiment = experiment;
		this.results = results;
	}

	/**
	 * Replays a load.
	 * @param experiment the pool and the load
	 * @param policies the routing policies to compare
	 * @return the results of all policies
	 */
	public static PoolExperiment run(ExperimentFile experiment, List<RoutingPolicy> policies) {
		Map<String, List<StreamResult>> results = new LinkedHashMap<>();
		for (RoutingPolicy policy : policies) {
			results.put(policy.name(), new PoolModel(experiment, policy).run());
		}
		return new PoolExperiment(experiment, results);
	}

	/**
	 * Returns the fraction of requests whose events all arrived on time.
	 * @param policy name of the policy
	 * @return the fraction, from 0 to 1
	 */
	public double onTimeFraction(String policy) {
		return ResultSummary.of(this.results.get(policy)).onTimeFraction();
	}

	/**
	 * Returns the report as text: a table of policies, then tables by rank, availability
	 * zone and organisation.
	 * @return lines of text
	 */
	public List<String> lines() {
		List<String> lines = new ArrayList<>();
		lines.add(this.experiment.name() + ", seed " + this.experiment.seed());
		lines.add(ResultSummary.header("policy"));
		this.results.forEach((policy, streams) -> lines.add(ResultSummary.of(streams).line(policy)));
		addGroupTable(lines, "rank", (stream) -> "rank " + stream.kind().rank());
		addGroupTable(lines, "zone", StreamResult::zone);
		addGroupTable(lines, "organisation", (stream) -> String.format("org-%02d", stream.organisation()));
		return lines;
	}

	private void addGroupTable(List<String> lines, String title, Function<StreamResult, String> group) {
		lines.add("");
		lines.add(ResultSummary.header(title));
		this.results.forEach((policy, streams) -> {
			Map<String, List<StreamResult>> groups = new TreeMap<>();
			streams.forEach(
					(stream) -> groups.computeIfAbsent(group.apply(stream), (key) -> new ArrayList<>()).add(stream));
			groups.forEach((name, members) -> lines.add(ResultSummary.of(members).line(policy + ' ' + name)));
		});
	}

	/**
	 * Plots the fraction of requests on time by second of arrival, with a line for each
	 * policy.
	 * @return an SVG document
	 */
	public String plot() {
		Map<String, double[]> series = new LinkedHashMap<>();
		int windows = (int) Math.ceil(this.experiment.durationS() * 1_000 / WINDOW_MS);
		this.results.forEach((policy, streams) -> {
			double[] arrived = new double[windows];
			double[] onTime = new double[windows];
			for (StreamResult stream : streams) {
				int window = Math.min(windows - 1, (int) (stream.arrivedAtMs() / WINDOW_MS));
				arrived[window]++;
				onTime[window] += (stream.isOnTime()) ? 1 : 0;
			}
			double[] fractions = new double[windows];
			for (int i = 0; i < windows; i++) {
				// A window without arrivals counts as on time.
				fractions[i] = (arrived[i] > 0) ? onTime[i] / arrived[i] : 1;
			}
			series.put(policy, fractions);
		});
		return new LinePlot("Requests on time by second of arrival: " + this.experiment.name(), series).svg();
	}

}
