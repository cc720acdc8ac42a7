package org.medlardrum.standins;

import java.util.List;

/**
 * Engines of one process in JSON form.
 *
 * @param weightStoreBytesPerS rate of the shared weight store, in bytes per second, 0 for
 * no limit
 * @param engines settings of the engines
 */
public record EnginesFile(double weightStoreBytesPerS, List<EngineSettings> engines) {

	public EnginesFile {
		if (engines == null || engines.isEmpty()) {
			throw new IllegalArgumentException("An engines file needs at least one engine");
		}
		engines = List.copyOf(engines);
	}

}
