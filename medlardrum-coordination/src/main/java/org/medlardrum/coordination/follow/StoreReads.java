package org.medlardrum.coordination.follow;

import java.util.Optional;

import org.medlardrum.coordination.follow.PeerConfirmations.PeerConfirmation;

/**
 * Reads of the store's newest version that this host makes for itself and for others.
 */
public interface StoreReads {

	/**
	 * Returns what this host has read from the store, if that is recent.
	 * @param maxAgeMs longest age in milliseconds
	 * @return the version and its age, empty if the last read is older
	 */
	Optional<PeerConfirmation> lastRead(long maxAgeMs);

	/**
	 * Returns the age up to which a read answers other hosts.
	 * @return the age in milliseconds
	 */
	long maxReadAgeMs();

	/**
	 * Reads the newest version of the store as soon as possible, because another host has
	 * asked for it.
	 */
	void requestRead();

	/**
	 * Sets the action to run after each attempt to read the store, successful or not.
	 * @param action must not block
	 */
	void onRead(Runnable action);

}
