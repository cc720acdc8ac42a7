package org.medlardrum.standins.internal.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Replays one load under several policies and reports what the callers got.
 *
 * <pre>
 * PoolExperiment.run(experiment, PoolExperiment.POLICIES).lines().forEach(System.out::println);
 * </pre>
 */
public final class PoolExperiment {

	/** Time between two digests of a host, as in the gateway. */
	private static final long DIGEST_MS = 300;

	/** Shortest time until a new suspicion is told, as in the gateway. */
	private static final long URGENT_DIGEST_MS = 60;

	/** The baseline, and the product's decisions with one part after the other. */
	public static final List<RoutingPolicy> POLICIES = List.of(new RoutingPolicy.NearestChain("nearest"),
			new RoutingPolicy.ChainSearching("search", DIGEST_MS, 0, false, false, false, false),
			new RoutingPolicy.ChainSearching("move", DIGEST_MS, 0, true, false, false, false),
			new RoutingPolicy.ChainSearching("move-keep", DIGEST_MS, 0, true, false, false, true),
			new RoutingPolicy.ChainSearching("move-keep-suspect", DIGEST_MS, URGENT_DIGEST_MS, true, true, false, true),
			new RoutingPolicy.ChainSearching("product", DIGEST_MS, URGENT_DIGEST_MS, true, true, true, true));

	/** Length of a window of the plot. */
	private static final double WINDOW_MS = 1_000;

	private final ExperimentFile experiment;

	private final Map<String, List<StreamResult>> results;

	private PoolExperiment(ExperimentFile experiment, Map<String, List<StreamResult>> results) {
		this.experiment = experiment;
		this.results = results;
	}

	/**
	 * Replays a load.
	 * @param experiment the load
	 * @param policies the policies
	 * @return the results
	 */
	public static PoolExperiment run(ExperimentFile experiment, List<RoutingPolicy> policies) {
		Map<String, List<StreamResult>> results = new LinkedHashMap<>();
		for (RoutingPolicy policy : policies) {
			results.put(policy.name(), new PoolModel(experiment, policy).run());
		}
		return new PoolExperiment(experiment, results);
	}

	/**
	 * Returns the share of requests whose events all came on time.
	 * @param policy name of the policy
	 * @return the share, from 0 to 1
	 */
	public double onTimeFraction(String policy) {
		return ResultSummary.of(this.results.get(policy)).onTimeFraction();
	}

	/**
	 * Returns a report: a table of policies, then tables by rank, availability zone and
	 * organisation.
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
	 * Returns the share of requests on time in each second of arrival, for each policy.
	 * @return an SVG document
	 */
	public String plot() {
		Map<String, double[]> series = new LinkedHashMap<>();
		int windows = (int) Math.ceil(this.experiment.durationS() * 1_000 / WINDOW_MS);
		this.results.forEach((policy, streams) -> {
			double[] arrived = new double[windows];
			double[] onTime = new double[windows];
			for (StreamResult stream : streams) {
				int window = Math.min(windows - 1, (int) (stream.arrivedMs() / WINDOW_MS));
				arrived[window]++;
				onTime[window] += (stream.isOnTime()) ? 1 : 0;
			}
			double[] fractions = new double[windows];
			for (int i = 0; i < windows; i++) {
				fractions[i] = (arrived[i] > 0) ? onTime[i] / arrived[i] : 1;
			}
			series.put(policy, fractions);
		});
		return new LinePlot("Requests on time by second of arrival: " + this.experiment.name(), series).svg();
	}

}
