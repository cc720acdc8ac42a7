package org.medlardrum.coordination.config;

import java.util.List;

import org.medlardrum.state.config.ConfigEdit;
import org.medlardrum.state.config.ConfigFault;

/**
 * Result of {@link ConfigLog#apply}.
 */
public sealed interface ApplyResult {

	/**
	 * The change is in the log.
	 *
	 * @param version version that the change created
	 */
	record Accepted(long version) implements ApplyResult {
	}

	/**
	 * The new documents equal the newest ones. Nothing was written.
	 *
	 * @param version newest version
	 */
	record Unchanged(long version) implements ApplyResult {
	}

	/**
	 * The documents are invalid. Nothing was written.
	 *
	 * @param faults all faults found
	 */
	record Rejected(List<ConfigFault> faults) implements ApplyResult {
	}

	/**
	 * Another operator changed the same members. Nothing was written.
	 *
	 * @param version newest version
	 * @param edits the other operators' edits that overlap
	 */
	record Conflicting(long version, List<ConfigEdit> edits) implements ApplyResult {
	}

	/**
	 * The store was unavailable or refused the change. Nothing was written.
	 *
	 * @param reason short technical reason
	 */
	record Unavailable(String reason) implements ApplyResult {
	}

	/**
	 * The store's response was lost and the entry could not be read back. The change may
	 * or may not be in the log.
	 *
	 * @param changeId identifier of the change, by which the history shows whether it was
	 * accepted
	 * @param reason short technical reason
	 */
	record Unknown(String changeId, String reason) implements ApplyResult {
	}

}
