package org.medlardrum.decisions;

import org.medlardrum.state.EngineState;
import org.medlardrum.state.LayerRange;

/**
 * An engine that may run a stage, with the expected times of one generated token. It is
 * sampled from the engines with the same layer range and availability zone.
 *
 * @param engine the engine
 * @param zoneIndex index of its availability zone in the decision's {@link LinkTable}
 * @param layers layers of the model that it holds; it may run only some of them
 * @param layerUs expected time of one layer, in microseconds
 * @param stageUs expected time of the stage in addition to its layers, in microseconds
 * @param noise random factor on both times that spreads decisions over ranges and zones
 */
record RangeCandidate(EngineState engine, int zoneIndex, LayerRange layers, double layerUs, double stageUs,
		double noise) {

	// Returns the expected time of all held layers, without the noise.
	double costUs() {
		return this.stageUs + this.layerUs * this.layers.length();
	}

	RangeCandidate withNoise(double factor) {
		return new RangeCandidate(this.engine, this.zoneIndex, this.layers, this.layerUs, this.stageUs, factor);
	}

}
