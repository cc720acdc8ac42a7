package org.medlardrum.coordination.follow;

import java.util.Optional;

import org.medlardrum.coordination.StoreVersion;

/**
 * Other hosts that read the newest version of the store, so that not every host has to.
 * What a host tells is bounded by the time of the question, so a late answer is no risk:
 * the store was read no earlier than the told age before the question was asked.
 */
public interface PeerConfirmations {

	/** Longest wait for the answer of another host, in milliseconds. */
	long ANSWER_TIMEOUT_MS = 150;

	/** No other host is asked. */
	PeerConfirmations NONE = Optional::empty;

	/**
	 * Asks another host for the newest version of the store. Blocks until its answer, for
	 * at most {@link #ANSWER_TIMEOUT_MS}.
	 * @return the answer, empty if this host has to read the store itself
	 */
	Optional<PeerConfirmation> ask();

	/**
	 * What another host has read from the store.
	 *
	 * @param newest newest version of the store at the time of the read
	 * @param ageMs time in milliseconds from the read to the answer, at least
	 */
	record PeerConfirmation(StoreVersion newest, long ageMs) {
	}

}
