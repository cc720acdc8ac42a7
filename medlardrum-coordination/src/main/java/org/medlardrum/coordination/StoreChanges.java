package org.medlardrum.coordination;

import java.util.List;

/**
 * Changes of keys with a prefix.
 *
 * @param changes the changes in order of their revisions; for a read of all keys, one for
 * each key
 * @param revision revision after which to continue
 */
public record StoreChanges(List<StoreChange> changes, long revision) {

	public StoreChanges {
		changes = List.copyOf(changes);
	}

}
