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
	 * Sends a digest as one datagram. Loss is not reported.
	 * @param peer the receiver
	 * @param digest the digest
	 */
	void send(Host peer, Digest digest);

	/**
	 * Asks a peer for the configuration changes after a version.
	 * @param peer the peer
	 * @param afterVersion version already known
	 * @return the changes
	 */
	PeerResult<ConfigPull> pullConfig(Host peer, long afterVersion);

	/**
	 * Asks a peer to record a claim.
	 * @param peer the peer
	 * @param request the claim
	 * @return the verdict
	 */
	PeerResult<ClaimAnswer> claim(Host peer, ClaimRequest request);

	/**
	 * Asks a peer to record the outcome of a claim.
	 * @param peer the peer
	 * @param outcome the outcome
	 * @return whether it was recorded
	 */
	PeerResult<Boolean> recordOutcome(Host peer, ClaimOutcome outcome);

}
