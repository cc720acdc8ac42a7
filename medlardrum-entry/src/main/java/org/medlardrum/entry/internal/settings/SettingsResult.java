package org.medlardrum.entry.internal.settings;

import java.util.List;

/**
 * Result of reading the settings.
 */
public sealed interface SettingsResult {

	/**
	 * The settings are usable.
	 *
	 * @param settings the settings
	 * @param checkOnly whether the process must exit after the check
	 */
	record Valid(Settings settings, boolean checkOnly) implements SettingsResult {
	}

	/**
	 * The settings have faults.
	 *
	 * @param faults all faults found
	 */
	record Invalid(List<String> faults) implements SettingsResult {

		public Invalid {
			faults = List.copyOf(faults);
		}

	}

	/**
	 * The flags were asked for.
	 *
	 * @param text description of the flags
	 */
	record Help(String text) implements SettingsResult {
	}

}
