package org.medlardrum.decisions;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;

import org.medlardrum.state.LayerRange;

/**
 * Finds the cheapest sequence of stages that covers every layer exactly once, by dynamic
 * programming over the layer boundaries. The boundaries are the ends of all held ranges;
 * a candidate may run any part of its range between two of them. Takes time proportional
 * to candidates × boundaries + boundaries × zones².
 */
final class CoverSearch {

	private static final double UNREACHABLE = Double.POSITIVE_INFINITY;

	private final List<RangeCandidate> candidates;

	private final LinkTable links;

	private final int[] boundaries;

	private final int zones;

	// For each boundary and availability zone: the cost of the cheapest cover of the
	// layers before the boundary whose last stage is in the zone, and how that cover
	// ends.
	private final double[] coverCostUs;

	private final int[] lastCandidate;

	private final int[] lastStageStart;

	private final int[] zoneBeforeLastStage;

	// For each candidate whose range contains the current boundary: the cost of the
	// cheapest cover up to the boundary that ends in a stage of the candidate, and where
	// that stage starts. Entries are contiguous, in no particular order.
	private final int[] activeCandidate;

	private final double[] activeCostUs;

	private final int[] activeStageStart;

	private final int[] activeZoneBefore;

	private final int[] activeToLayer;

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
		this.boundaries = boundaries(layerCount, candidates);
		this.zones = links.zoneCount();
		int stateCount = this.boundaries.length * this.zones;
		this.coverCostUs = new double[stateCount];
		Arrays.fill(this.coverCostUs, UNREACHABLE);
		this.lastCandidate = new int[stateCount];
		this.lastStageStart = new int[stateCount];
		this.zoneBeforeLastStage = new int[stateCount];
		int count = candidates.size();
		this.activeCandidate = new int[count];
		this.activeCostUs = new double[count];
		this.activeStageStart = new int[count];
		this.activeZoneBefore = new int[count];
		this.activeToLayer = new int[count];
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

	private static int[] boundaries(int layerCount, List<RangeCandidate> candidates) {
		boolean[] isBoundary = new boolean[layerCount + 1];
		isBoundary[0] = true;
		isBoundary[layerCount] = true;
		for (RangeCandidate candidate : candidates) {
			isBoundary[candidate.layers().fromLayer()] = true;
			isBoundary[candidate.layers().toLayer()] = true;
		}
		int[] boundaries = new int[layerCount + 1];
		int count = 0;
		for (int layer = 0; layer <= layerCount; layer++) {
			if (isBoundary[layer]) {
				boundaries[count++] = layer;
			}
		}
		return Arrays.copyOf(boundaries, count);
	}

	// Returns the stages in order, empty when some layer cannot be covered.
	List<PlannedStage> findCheapest() {
		double[] entryCostUs = new double[this.zones];
		int[] entryZoneBefore = new int[this.zones];
		for (int boundary = 0; boundary < this.boundaries.length - 1; boundary++) {
			if (!computeEntryCosts(boundary, entryCostUs, entryZoneBefore)) {
				return List.of();
			}
			advance(boundary, entryCostUs, entryZoneBefore);
		}
		return mergeRepeated(backtrack());
	}

	// Returns the first layer that no sequence of stages from layer 0 covers.
	int firstUncoveredLayer() {
		int layer = 0;
		for (int boundary = 1; boundary < this.boundaries.length; boundary++) {
			for (int zone = 0; zone < this.zones; zone++) {
				if (this.coverCostUs[boundary * this.zones + zone] < UNREACHABLE) {
					layer = this.boundaries[boundary];
				}
			}
		}
		return layer;
	}

	// Computes for each zone the cheapest way to start a stage in it at the boundary.
	// Returns false when no cover reaches the boundary.
	private boolean computeEntryCosts(int boundary, double[] entryCostUs, int[] entryZoneBefore) {
		boolean reachable = boundary == 0;
		for (int zone = 0; zone < this.zones; zone++) {
			entryCostUs[zone] = (boundary == 0) ? this.links.latencyUs(0, zone) : UNREACHABLE;
			for (int before = 0; boundary > 0 && before < this.zones; before++) {
				double coveredUs = this.coverCostUs[boundary * this.zones + before];
				double costUs = coveredUs + this.links.latencyUs(before, zone);
				if (costUs < entryCostUs[zone]) {
					entryCostUs[zone] = costUs;
					entryZoneBefore[zone] = before;
					reachable = true;
				}
			}
		}
		return reachable;
	}

	private void advance(int boundary, double[] entryCostUs, int[] entryZoneBefore) {
		int layer = this.boundaries[boundary];
		updateActive(layer);
		int width = this.boundaries[boundary + 1] - layer;
		int firstState = (boundary + 1) * this.zones;
		for (int i = 0; i < this.activeCount; i++) {
			int zone = this.activeZone[i];
			double startUs = entryCostUs[zone] + this.activeStageUs[i];
			double costUs = this.activeCostUs[i];
			if (startUs < costUs) {
				costUs = startUs;
				this.activeStageStart[i] = boundary;
				this.activeZoneBefore[i] = entryZoneBefore[zone];
			}
			costUs += this.activeLayerUs[i] * width;
			this.activeCostUs[i] = costUs;
			int state = firstState + zone;
			if (costUs < this.coverCostUs[state]) {
				this.coverCostUs[state] = costUs;
				this.lastCandidate[state] = this.activeCandidate[i];
				this.lastStageStart[state] = this.activeStageStart[i];
				this.zoneBeforeLastStage[state] = this.activeZoneBefore[i];
			}
		}
	}

	private void updateActive(int layer) {
		int kept = 0;
		for (int i = 0; i < this.activeCount; i++) {
			if (this.activeToLayer[i] > layer) {
				moveActive(i, kept++);
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

	private void moveActive(int from, int to) {
		this.activeCandidate[to] = this.activeCandidate[from];
		this.activeCostUs[to] = this.activeCostUs[from];
		this.activeStageStart[to] = this.activeStageStart[from];
		this.activeZoneBefore[to] = this.activeZoneBefore[from];
		this.activeToLayer[to] = this.activeToLayer[from];
		this.activeZone[to] = this.activeZone[from];
		this.activeLayerUs[to] = this.activeLayerUs[from];
		this.activeStageUs[to] = this.activeStageUs[from];
	}

	private void activate(RangeCandidate candidate, int index) {
		int slot = this.activeCount++;
		this.activeCandidate[slot] = index;
		this.activeCostUs[slot] = UNREACHABLE;
		this.activeToLayer[slot] = candidate.layers().toLayer();
		this.activeZone[slot] = candidate.zoneIndex();
		this.activeLayerUs[slot] = candidate.layerUs() * candidate.noise();
		this.activeStageUs[slot] = candidate.stageUs() * candidate.noise();
	}

	private List<PlannedStage> backtrack() {
		int boundary = this.boundaries.length - 1;
		int zone = 0;
		for (int other = 1; other < this.zones; other++) {
			if (this.coverCostUs[boundary * this.zones + other] < this.coverCostUs[boundary * this.zones + zone]) {
				zone = other;
			}
		}
		List<PlannedStage> stages = new ArrayList<>();
		if (this.coverCostUs[boundary * this.zones + zone] == UNREACHABLE) {
			return stages;
		}
		while (boundary > 0) {
			int state = boundary * this.zones + zone;
			LayerRange layers = new LayerRange(this.boundaries[this.lastStageStart[state]], this.boundaries[boundary]);
			stages.add(new PlannedStage(this.candidates.get(this.lastCandidate[state]), layers));
			boundary = this.lastStageStart[state];
			zone = this.zoneBeforeLastStage[state];
		}
		Collections.reverse(stages);
		return stages;
	}

	// Merges the stages of an engine that appears twice; it holds one contiguous range
	// and can also run the layers in between. With a single stage for each engine,
	// frames of a request cannot be confused on an engine.
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
	 * A stage of the cheapest cover.
	 *
	 * @param candidate the engine that runs it
	 * @param layers layers to run
	 */
	record PlannedStage(RangeCandidate candidate, LayerRange layers) {
	}

}
