package org.medlardrum.decisions;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;

import org.medlardrum.state.LayerRange;

/**
 * Finds the cheapest sequence of stages that covers every layer exactly once. Layers are
 * split at the bounds of all held ranges, and a candidate may run any part of its range
 * between two of these bounds. Takes time proportional to candidates × bounds + bounds ×
 * zones².
 */
final class CoverSearch {

	private static final double UNREACHABLE = Double.POSITIVE_INFINITY;

	private final List<RangeCandidate> candidates;

	private final LinkTable links;

	private final int[] bounds;

	private final int zones;

	// Cheapest cover of the layers before a bound whose last stage is in a zone.
	private final double[] coveredUs;

	private final int[] coveredBy;

	private final int[] coveredFrom;

	private final int[] zoneBefore;

	// Cheapest way to be running a candidate at the current bound, for those candidates
	// whose range contains it. Entries are kept dense, in no particular order.
	private final int[] active;

	private final double[] runningUs;

	private final int[] runningFrom;

	private final int[] runningZoneBefore;

	private final int[] activeTo;

	private final int[] activeZone;

	private final double[] activeLayerUs;

	private final double[] activeStageUs;

	private int activeCount;

	// Candidates ordered by the first layer of their ranges.
	private final int[] byFromLayer;

	private int nextToActivate;

	CoverSearch(int layerCount, List<RangeCandidate> candidates, LinkTable links) {
		this.candidates = candidates;
		this.links = links;
		this.bounds = bounds(layerCount, candidates);
		this.zones = links.zoneCount();
		int states = this.bounds.length * this.zones;
		this.coveredUs = new double[states];
		Arrays.fill(this.coveredUs, UNREACHABLE);
		this.coveredBy = new int[states];
		this.coveredFrom = new int[states];
		this.zoneBefore = new int[states];
		int count = candidates.size();
		this.active = new int[count];
		this.runningUs = new double[count];
		this.runningFrom = new int[count];
		this.runningZoneBefore = new int[count];
		this.activeTo = new int[count];
		this.activeZone = new int[count];
		this.activeLayerUs = new double[count];
		this.activeStageUs = new double[count];
		this.byFromLayer = byFromLayer(layerCount, candidates);
	}

	private static int[] byFromLayer(int layerCount, List<RangeCandidate> candidates) {
		int[] firstIndex = new int[layerCount + 1];
		for (RangeCandidate candidate : candidates) {
			firstIndex[candidate.layers().fromLayer() + 1]++;
		}
		for (int layer = 1; layer <= layerCount; layer++) {
			firstIndex[layer] += firstIndex[layer - 1];
		}
		int[] ordered = new int[candidates.size()];
		for (int i = 0; i < ordered.length; i++) {
			ordered[firstIndex[candidates.get(i).layers().fromLayer()]++] = i;
		}
		return ordered;
	}

	private static int[] bounds(int layerCount, List<RangeCandidate> candidates) {
		boolean[] isBound = new boolean[layerCount + 1];
		isBound[0] = true;
		isBound[layerCount] = true;
		for (RangeCandidate candidate : candidates) {
			isBound[candidate.layers().fromLayer()] = true;
			isBound[candidate.layers().toLayer()] = true;
		}
		int[] bounds = new int[layerCount + 1];
		int count = 0;
		for (int layer = 0; layer <= layerCount; layer++) {
			if (isBound[layer]) {
				bounds[count++] = layer;
			}
		}
		return Arrays.copyOf(bounds, count);
	}

	// Returns the stages in order, empty when some layer cannot be covered.
	List<PlannedStage> cheapest() {
		double[] enterUs = new double[this.zones];
		int[] enterFrom = new int[this.zones];
		for (int bound = 0; bound < this.bounds.length - 1; bound++) {
			if (!enter(bound, enterUs, enterFrom)) {
				return List.of();
			}
			advance(bound, enterUs, enterFrom);
		}
		return mergeRepeated(backtrack());
	}

	// Returns the first layer that no usable cover reaches beyond.
	int firstUncoveredLayer() {
		int layer = 0;
		for (int bound = 1; bound < this.bounds.length; bound++) {
			for (int zone = 0; zone < this.zones; zone++) {
				if (this.coveredUs[bound * this.zones + zone] < UNREACHABLE) {
					layer = this.bounds[bound];
				}
			}
		}
		return layer;
	}

	// Computes for each zone the cheapest way to start a stage there.
	private boolean enter(int bound, double[] enterUs, int[] enterFrom) {
		boolean reachable = bound == 0;
		for (int zone = 0; zone < this.zones; zone++) {
			enterUs[zone] = (bound == 0) ? this.links.latencyUs(0, zone) : UNREACHABLE;
			for (int before = 0; bound > 0 && before < this.zones; before++) {
				double covered = this.coveredUs[bound * this.zones + before];
				double costUs = covered + this.links.latencyUs(before, zone);
				if (costUs < enterUs[zone]) {
					enterUs[zone] = costUs;
					enterFrom[zone] = before;
					reachable = true;
				}
			}
		}
		return reachable;
	}

	private void advance(int bound, double[] enterUs, int[] enterFrom) {
		int layer = this.bounds[bound];
		updateActive(layer);
		int width = this.bounds[bound + 1] - layer;
		int firstState = (bound + 1) * this.zones;
		for (int i = 0; i < this.activeCount; i++) {
			int zone = this.activeZone[i];
			double startUs = enterUs[zone] + this.activeStageUs[i];
			double costUs = this.runningUs[i];
			if (startUs < costUs) {
				costUs = startUs;
				this.runningFrom[i] = bound;
				this.runningZoneBefore[i] = enterFrom[zone];
			}
			costUs += this.activeLayerUs[i] * width;
			this.runningUs[i] = costUs;
			int state = firstState + zone;
			if (costUs < this.coveredUs[state]) {
				this.coveredUs[state] = costUs;
				this.coveredBy[state] = this.active[i];
				this.coveredFrom[state] = this.runningFrom[i];
				this.zoneBefore[state] = this.runningZoneBefore[i];
			}
		}
	}

	private void updateActive(int layer) {
		int kept = 0;
		for (int i = 0; i < this.activeCount; i++) {
			if (this.activeTo[i] > layer) {
				move(i, kept++);
			}
		}
		this.activeCount = kept;
		while (this.nextToActivate < this.byFromLayer.length) {
			RangeCandidate candidate = this.candidates.get(this.byFromLayer[this.nextToActivate]);
			if (candidate.layers().fromLayer() > layer) {
				return;
			}
			activate(candidate, this.byFromLayer[this.nextToActivate++]);
		}
	}

	private void move(int from, int to) {
		this.active[to] = this.active[from];
		this.runningUs[to] = this.runningUs[from];
		this.runningFrom[to] = this.runningFrom[from];
		this.runningZoneBefore[to] = this.runningZoneBefore[from];
		this.activeTo[to] = this.activeTo[from];
		this.activeZone[to] = this.activeZone[from];
		this.activeLayerUs[to] = this.activeLayerUs[from];
		this.activeStageUs[to] = this.activeStageUs[from];
	}

	private void activate(RangeCandidate candidate, int index) {
		int slot = this.activeCount++;
		this.active[slot] = index;
		this.runningUs[slot] = UNREACHABLE;
		this.activeTo[slot] = candidate.layers().toLayer();
		this.activeZone[slot] = candidate.zone();
		this.activeLayerUs[slot] = candidate.layerUs() * candidate.noise();
		this.activeStageUs[slot] = candidate.stageUs() * candidate.noise();
	}

	private List<PlannedStage> backtrack() {
		int bound = this.bounds.length - 1;
		int zone = 0;
		for (int other = 1; other < this.zones; other++) {
			if (this.coveredUs[bound * this.zones + other] < this.coveredUs[bound * this.zones + zone]) {
				zone = other;
			}
		}
		List<PlannedStage> stages = new ArrayList<>();
		if (this.coveredUs[bound * this.zones + zone] == UNREACHABLE) {
			return stages;
		}
		while (bound > 0) {
			int state = bound * this.zones + zone;
			LayerRange layers = new LayerRange(this.bounds[this.coveredFrom[state]], this.bounds[bound]);
			stages.add(new PlannedStage(this.candidates.get(this.coveredBy[state]), layers));
			bound = this.coveredFrom[state];
			zone = this.zoneBefore[state];
		}
		Collections.reverse(stages);
		return stages;
	}

	// An engine holds one contiguous range, so when it appears twice it can also run the
	// layers in between. One stage each keeps the engine's frames for a request distinct.
	private static List<PlannedStage> mergeRepeated(List<PlannedStage> stages) {
		List<PlannedStage> merged = new ArrayList<>();
		int next = 0;
		while (next < stages.size()) {
			PlannedStage stage = stages.get(next);
			int last = next;
			for (int i = next + 1; i < stages.size(); i++) {
				last = (stages.get(i).candidate() == stage.candidate()) ? i : last;
			}
			merged.add(new PlannedStage(stage.candidate(),
					new LayerRange(stage.layers().fromLayer(), stages.get(last).layers().toLayer())));
			next = last + 1;
		}
		return merged;
	}

	/**
	 * A stage of the found cover.
	 *
	 * @param candidate the engine that runs it
	 * @param layers layers to run
	 */
	record PlannedStage(RangeCandidate candidate, LayerRange layers) {
	}

}
