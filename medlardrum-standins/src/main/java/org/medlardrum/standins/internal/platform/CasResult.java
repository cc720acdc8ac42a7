package org.medlardrum.standins.internal.platform;

/**
 * Result of a compare-and-swap.
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
	 * The key has another revision.
	 *
	 * @param current the current entry, {@code null} if the key does not exist
	 */
	record Conflict(KvEntry current) implements CasResult {
	}

	/** The lease of the write does not exist or has expired. */
	record LeaseNotFound() implements CasResult {
	}

}
