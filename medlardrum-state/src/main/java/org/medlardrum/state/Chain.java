package org.medlardrum.state;

import java.util.List;

/**
 * An ordered list of stages whose ranges cover every layer of a model exactly once.
 *
 * @param stages the stages, in the order of their layers
 */
public record Chain(List<Stage> stages) {

	public Chain {
		stages = List.copyOf(stages);
		if (stages.isEmpty()) {
			throw new IllegalArgumentException("A chain needs at least one stage");
		}
	}

	/**
	 * Returns the stage to which the entry host connects.
	 * @return the first stage
	 */
	public Stage head() {
		return this.stages.get(0);
	}

	/**
	 * Returns whether the stages cover layers 0 to {@code layerCount} exactly once in
	 * order.
	 * @param layerCount number of layers of the model
	 * @return {@code true} if no layer is missing, repeated or out of order
	 */
	public boolean covers(int layerCount) {
		int nextLayer = 0;
		for (Stage stage : this.stages) {
			if (stage.fromLayer() != nextLayer || stage.toLayer() <= nextLayer) {
				return false;
			}
			nextLayer = stage.toLayer();
		}
		return nextLayer == layerCount;
	}

}
