package org.medlardrum.entry.internal.settings;

import java.util.List;

/**
 * Result of parsing the settings.
 */
public sealed interface SettingsResult {

	/**
	 * The settings are valid.
	 *
	 * @param settings the settings
	 * @param checkOnly whether the process exits after the check instead of running
	 */
	record Valid(Settings settings, boolean checkOnly) implements SettingsResult {
	}

	/**
	 * The settings are invalid.
	 *
	 * @param faults all faults found
	 */
	record Invalid(List<String> faults) implements SettingsResult {

		public Invalid {
			faults = List.copyOf(faults);
		}

	}

	/**
	 * The help text was requested.
	 *
	 * @param text description of the flags
	 */
	record Help(String text) implements SettingsResult {
	}

}
