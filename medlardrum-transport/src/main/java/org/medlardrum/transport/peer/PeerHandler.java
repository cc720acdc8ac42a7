package org.medlardrum.transport.peer;

import org.medlardrum.peer.gen.ClaimAnswer;
import org.medlardrum.peer.gen.ClaimOutcome;
import org.medlardrum.peer.gen.ClaimRequest;
import org.medlardrum.peer.gen.ConfigPull;
import org.medlardrum.peer.gen.Digest;

/**
 * Answers the requests of other entry hosts. Called from many threads.
 */
public interface PeerHandler {

	/**
	 * Takes a digest. Must not block.
	 * @param digest the digest
	 */
	void handleDigest(Digest digest);

	/**
	 * Returns the configuration changes after a version.
	 * @param afterVersion version that the peer knows
	 * @return the changes
	 */
	ConfigPull pullConfig(long afterVersion);

	/**
	 * Returns the host list that this host knows, for a host that starts while the
	 * platform is down.
	 * @return the list as JSON
	 */
	String hostListJson();

	/**
	 * Records a claim.
	 * @param request the claim
	 * @return the verdict
	 */
	ClaimAnswer claim(ClaimRequest request);

	/**
	 * Records the outcome of a claim.
	 * @param outcome the outcome
	 * @return whether it is in the store
	 */
	boolean recordOutcome(ClaimOutcome outcome);

}
