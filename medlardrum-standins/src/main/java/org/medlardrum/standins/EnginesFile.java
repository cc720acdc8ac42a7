package org.medlardrum.standins;

import java.util.List;

/**
 * Contents of an engines file: the engines that one process runs, in JSON.
 *
 * @param weightStoreBytesPerS transfer rate of the shared weight store, in bytes per
 * second, 0 for no limit
 * @param engines settings of the engines
 */
public record EnginesFile(double weightStoreBytesPerS, List<EngineSettings> engines) {

	public EnginesFile {
		if (engines == null || engines.isEmpty()) {
			throw new IllegalArgumentException("The engines file contains no engines");
		}
		engines = List.copyOf(engines);
	}

}
