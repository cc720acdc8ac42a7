package org.medlardrum.coordination;

import org.medlardrum.peer.gen.ClaimAnswer;
import org.medlardrum.peer.gen.ClaimOutcome;
import org.medlardrum.peer.gen.ClaimRequest;
import org.medlardrum.peer.gen.ConfigPull;
import org.medlardrum.peer.gen.Digest;
import org.medlardrum.state.Host;

/**
 * Port to the other entry hosts.
 */
public interface PeerNetwork {

	/**
	 * Sends a digest as one datagram. The sender is not notified if it is lost.
	 * @param peer the receiver
	 * @param digest the digest
	 */
	void send(Host peer, Digest digest);

	/**
	 * Requests the configuration changes after a version from a peer.
	 * @param peer the peer
	 * @param afterVersion latest version that the own host has
	 * @return the changes
	 */
	PeerResult<ConfigPull> pullConfig(Host peer, long afterVersion);

	/**
	 * Requests a claim from a peer, which decides it as the writer of its bucket.
	 * @param peer the peer
	 * @param request the claim
	 * @return the verdict
	 */
	PeerResult<ClaimAnswer> claim(Host peer, ClaimRequest request);

	/**
	 * Requests that a peer records the outcome of a claim.
	 * @param peer the peer
	 * @param outcome the outcome
	 * @return whether the outcome is in the store
	 */
	PeerResult<Boolean> recordOutcome(Host peer, ClaimOutcome outcome);

}
