package org.medlardrum.standins.internal.load;

import java.util.List;

/**
 * Contents of a phases file.
 *
 * @param phases phases of the schedule, in order
 */
public record PhasesFile(List<Phase> phases) {

	public PhasesFile {
		if (phases == null || phases.isEmpty()) {
			throw new IllegalArgumentException("Phases file has no phases; at least one is required");
		}
		phases = List.copyOf(phases);
	}

}
