package org.medlardrum.state.config;

import java.util.List;

/**
 * Result of reading a configuration.
 */
public sealed interface ConfigResult {

	/**
	 * The configuration has no faults.
	 *
	 * @param configuration the configuration with all defaults filled in
	 */
	record Valid(Configuration configuration) implements ConfigResult {
	}

	/**
	 * The configuration is rejected.
	 *
	 * @param faults all faults found
	 */
	record Invalid(List<ConfigFault> faults) implements ConfigResult {

		public Invalid {
			faults = List.copyOf(faults);
		}

	}

}
