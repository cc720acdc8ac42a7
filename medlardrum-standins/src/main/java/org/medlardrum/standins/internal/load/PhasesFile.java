package org.medlardrum.standins.internal.load;

import java.util.List;

/**
 * Contents of a phases file.
 *
 * @param phases parts of the schedule, in order
 */
public record PhasesFile(List<Phase> phases) {

	public PhasesFile {
		if (phases == null || phases.isEmpty()) {
			throw new IllegalArgumentException("A phases file needs at least one phase");
		}
		phases = List.copyOf(phases);
	}

}
