package org.medlardrum.standins.internal.platform;

/**
 * Result of a conditional write.
 */
public sealed interface CasResult {

	/**
	 * The value was written.
	 *
	 * @param entry the new entry
	 */
	record Written(KvEntry entry) implements CasResult {
	}

	/**
	 * The key does not have the expected revision, so nothing was written.
	 *
	 * @param current the current entry, {@code null} if the key does not exist
	 */
	record Conflict(KvEntry current) implements CasResult {
	}

	/** The lease of the write does not exist or has expired, so nothing was written. */
	record LeaseNotFound() implements CasResult {
	}

}
