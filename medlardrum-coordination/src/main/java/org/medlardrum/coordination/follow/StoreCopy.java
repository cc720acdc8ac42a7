package org.medlardrum.coordination.follow;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.medlardrum.coordination.StoreChange;
import org.medlardrum.coordination.StoreChanges;
import org.medlardrum.coordination.StoreVersion;

/**
 * Copy of the store's keys and the version up to which it has all changes, apart from
 * removals that are held back. Times are those of the monotonic clock. Not thread-safe.
 */
final class StoreCopy {

	private final Map<String, String> values = new HashMap<>();

	private final HeldBackRemovals heldBackRemovals = new HeldBackRemovals();

	/** {@code null} before the first read. */
	private StoreVersion version;

	private boolean historyLost;

	/**
	 * Returns the version to which later changes can be applied.
	 * @return the version, {@code null} if all keys have to be read
	 */
	StoreVersion version() {
		return (this.historyLost) ? null : this.version;
	}

	/**
	 * Returns the version of the keys, also if changes after it are missing for good.
	 * @return the version, {@code null} before the first read
	 */
	StoreVersion lastVersion() {
		return this.version;
	}

	/**
	 * Records that the store does not keep all changes after the version any more.
	 */
	void markHistoryLost() {
		this.historyLost = true;
	}

	/**
	 * Returns whether a version belongs to a history of the store that a restore ended.
	 * @param other the version
	 * @return {@code true} if the copy is of a later era
	 */
	boolean isOfLaterEraThan(StoreVersion other) {
		return this.version != null && other.era() < this.version.era();
	}

	/**
	 * Replaces the keys.
	 * @param all all keys
	 * @param nowMs current time
	 */
	void replace(StoreChanges all, long nowMs) {
		Set<String> present = new HashSet<>();
		all.changes().forEach((change) -> present.add(change.key()));
		Set<String> missing = new HashSet<>(this.values.keySet());
		missing.removeAll(present);
		missing.forEach((key) -> remove(key, nowMs));
		all.changes().forEach(this::put);
		this.historyLost = false;
		this.version = all.version();
	}

	/**
	 * Applies the changes that the copy lacks. Two calls for changes may overlap, so the
	 * others may be older than the copy.
	 * @param changes changes of the same era
	 * @param nowMs current time
	 * @return whether there were any
	 */
	boolean apply(StoreChanges changes, long nowMs) {
		boolean changed = false;
		for (StoreChange change : changes.changes()) {
			if (change.version().isAfter(this.version)) {
				changed = true;
				if (change.value() != null) {
					put(change);
				}
				else {
					remove(change.key(), nowMs);
				}
			}
		}
		this.version = (changes.version().isAfter(this.version)) ? changes.version() : this.version;
		return changed;
	}

	private void put(StoreChange change) {
		this.values.put(change.key(), change.value());
		this.heldBackRemovals.cancel(change.key());
	}

	private void remove(String key, long nowMs) {
		if (!this.values.containsKey(key) || !this.heldBackRemovals.hold(key, nowMs)) {
			this.values.remove(key);
			this.heldBackRemovals.cancel(key);
		}
	}

	/**
	 * Holds back removals from now on, and those that are held back already.
	 * @param endMs time until which they are held back
	 */
	void holdRemovalsUntil(long endMs) {
		this.heldBackRemovals.holdUntil(endMs);
	}

	/**
	 * Returns when the removals that are held back are to take effect.
	 * @return the time, {@link Long#MAX_VALUE} if there are none
	 */
	long removalsDueMs() {
		return this.heldBackRemovals.dueMs();
	}

	/**
	 * Applies the removals that are no longer held back.
	 * @param currentAsOfMs time as of which the copy has all changes
	 * @return whether there were any
	 */
	boolean releaseRemovals(long currentAsOfMs) {
		Set<String> released = this.heldBackRemovals.release(currentAsOfMs);
		released.forEach(this.values::remove);
		return !released.isEmpty();
	}

	/**
	 * Returns the values by key.
	 * @return an immutable copy
	 */
	Map<String, String> values() {
		return Map.copyOf(this.values);
	}

}
