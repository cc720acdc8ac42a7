package org.medlardrum.cli.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Increases of the request counters between successive samples of each host.
 */
final class BurnHistory {

	/** Stands for the sum over all organisations of a rank. */
	static final String ALL_ORGANISATIONS = "(all)";

	private final List<Increase> increases = new ArrayList<>();

	private final long startMs;

	private final long endMs;

	BurnHistory(List<BurnSample> samples) {
		List<BurnSample> ordered = new ArrayList<>(samples);
		ordered.sort(Comparator.comparingLong(BurnSample::atMs));
		this.startMs = ordered.isEmpty() ? 0 : ordered.get(0).atMs();
		this.endMs = ordered.isEmpty() ? 0 : ordered.get(ordered.size() - 1).atMs();
		Map<String, BurnSample> previousByHost = new HashMap<>();
		for (BurnSample sample : ordered) {
			BurnSample previousSample = previousByHost.put(sample.host(), sample);
			if (previousSample != null) {
				this.increases.add(new Increase(sample.atMs(), increase(previousSample, sample)));
			}
		}
	}

	long startMs() {
		return this.startMs;
	}

	long endMs() {
		return this.endMs;
	}

	/**
	 * Sums the increases in a window.
	 * @param fromMs start, exclusive
	 * @param toMs end, inclusive
	 * @return counts by rank and organisation, and a sum for each rank under
	 * {@link #ALL_ORGANISATIONS}
	 */
	Map<Series, BurnCount> between(long fromMs, long toMs) {
		Map<Series, BurnCount> counts = new TreeMap<>();
		for (Increase increase : this.increases) {
			if (increase.atMs() > fromMs && increase.atMs() <= toMs) {
				increase.counts().forEach((series, count) -> {
					counts.merge(series, count, BurnCount::plus);
					counts.merge(new Series(series.rank(), ALL_ORGANISATIONS), count, BurnCount::plus);
				});
			}
		}
		return counts;
	}

	private static Map<Series, BurnCount> increase(BurnSample previous, BurnSample current) {
		// If any counter decreased, the host restarted and all of its counters began at
		// 0, including those that did not decrease.
		boolean restarted = previous.counters()
			.entrySet()
			.stream()
			.anyMatch((entry) -> current.counters().getOrDefault(entry.getKey(), 0.0) < entry.getValue());
		Map<Series, BurnCount> counts = new HashMap<>();
		current.counters().forEach((key, value) -> {
			double delta = restarted ? value : value - previous.counters().getOrDefault(key, 0.0);
			BurnCount count = key.outcome().equals(BurnSample.WITHIN_TARGET) ? new BurnCount(0, delta)
					: new BurnCount(delta, 0);
			counts.merge(new Series(key.rank(), key.organisation()), count, BurnCount::plus);
		});
		return counts;
	}

	/**
	 * Key of the requests that are counted together.
	 *
	 * @param rank rank
	 * @param organisation organisation, {@link #ALL_ORGANISATIONS} for a whole rank
	 */
	record Series(String rank, String organisation) implements Comparable<Series> {

		@Override
		public int compareTo(Series other) {
			int byRank = Integer.compare(order(this.rank), order(other.rank));
			return (byRank != 0) ? byRank : this.organisation.compareTo(other.organisation);
		}

		private static int order(String rank) {
			return List.of("urgent", "standard", "background").indexOf(rank) & Integer.MAX_VALUE;
		}

	}

	private record Increase(long atMs, Map<Series, BurnCount> counts) {
	}

}
