package org.medlardrum.coordination;

import java.util.List;

/**
 * Changes of keys with a prefix.
 *
 * @param changes the changes in order of their versions; for a read of all keys, one for
 * each key
 * @param version version after which to continue
 */
public record StoreChanges(List<StoreChange> changes, StoreVersion version) {

	public StoreChanges {
		changes = List.copyOf(changes);
	}

}
