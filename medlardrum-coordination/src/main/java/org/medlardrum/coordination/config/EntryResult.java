package org.medlardrum.coordination.config;

import java.util.Optional;

import org.medlardrum.state.config.ConfigChange;
import org.medlardrum.state.config.ConfigCodec;
import org.medlardrum.state.config.ConfigDocuments;
import org.medlardrum.state.config.ConfigMerge;

/**
 * Result of applying one entry of the log to the documents before it.
 */
sealed interface EntryResult {

	static EntryResult apply(ConfigDocuments before, String text) {
		long version = before.version() + 1;
		Optional<ConfigChange> read = ConfigCodec.readChange(text);
		if (read.isEmpty()) {
			return new Damaged("change " + version + " is not readable");
		}
		ConfigChange change = read.get();
		if (change.version() != version) {
			return new Damaged("change " + version + " carries version " + change.version());
		}
		if (!change.parentHash().equals(before.hash())) {
			return new Damaged("change " + version + " was made for other documents than version " + before.version());
		}
		try {
			ConfigDocuments after = ConfigMerge.apply(before, change.edits(), version);
			return after.hash().equals(change.resultHash()) ? new Applied(after, change)
					: new Damaged("change " + version + " fails its hash check");
		}
		catch (IllegalArgumentException ex) {
			return new Damaged("change " + version + " has an invalid edit: " + ex.getMessage());
		}
	}

	/**
	 * The entry was applied and its hashes match.
	 *
	 * @param documents documents after the change
	 * @param change the change
	 */
	record Applied(ConfigDocuments documents, ConfigChange change) implements EntryResult {
	}

	/**
	 * The entry cannot be applied.
	 *
	 * @param reason why it cannot be applied
	 */
	record Damaged(String reason) implements EntryResult {
	}

}
