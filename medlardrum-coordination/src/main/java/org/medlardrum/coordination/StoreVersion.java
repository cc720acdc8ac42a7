package org.medlardrum.coordination;

import java.util.Comparator;

/**
 * Version of a key, or of all keys, in the platform's store. A store that is restored
 * from an older copy starts a new era, in which it assigns again revisions that it had
 * assigned in the lost part of its history. Versions are therefore only comparable as a
 * whole.
 *
 * <pre>
 * StoreVersion before = new StoreVersion(1, 90);
 * StoreVersion restored = new StoreVersion(2, 40);
 * restored.isAfter(before); // true
 * </pre>
 *
 * @param era number of the store's history, 0 if the store numbers none
 * @param revision revision in this history, 0 for a key that does not exist
 */
public record StoreVersion(long era, long revision) implements Comparable<StoreVersion> {

	/** Version of a key that does not exist. */
	public static final StoreVersion ABSENT = new StoreVersion(0, 0);

	/** Bits of a fencing token that hold the revision. */
	private static final int REVISION_BITS = 44;

	private static final Comparator<StoreVersion> ORDER = Comparator.comparingLong(StoreVersion::era)
		.thenComparingLong(StoreVersion::revision);

	public StoreVersion {
		if (era < 0 || revision < 0) {
			throw new IllegalArgumentException("Era " + era + " and revision " + revision + " must not be negative");
		}
	}

	/**
	 * Returns whether this is the version of a key that does not exist.
	 * @return {@code true} without a revision
	 */
	public boolean isAbsent() {
		return this.revision == 0;
	}

	/**
	 * Returns whether both versions belong to the same history of the store.
	 * @param other the other version
	 * @return {@code true} if the eras are equal
	 */
	public boolean isSameEra(StoreVersion other) {
		return this.era == other.era;
	}

	/**
	 * Returns whether this version is newer than another one.
	 * @param other the other version
	 * @return {@code true} if its era is later, or its revision within the same era
	 */
	public boolean isAfter(StoreVersion other) {
		return compareTo(other) > 0;
	}

	/**
	 * Returns a fencing token that increases with the version, also from one era to the
	 * next.
	 * @return the token
	 */
	public long fencingToken() {
		return (this.era << REVISION_BITS) + this.revision;
	}

	@Override
	public int compareTo(StoreVersion other) {
		return ORDER.compare(this, other);
	}

}
