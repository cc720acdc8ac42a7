package org.medlardrum.entry.internal.host;

import org.medlardrum.coordination.claims.ClaimLedger;
import org.medlardrum.coordination.config.ConfigAgent;
import org.medlardrum.coordination.gossip.Gossip;
import org.medlardrum.peer.gen.ClaimAnswer;
import org.medlardrum.peer.gen.ClaimOutcome;
import org.medlardrum.peer.gen.ClaimRequest;
import org.medlardrum.peer.gen.ConfigPull;
import org.medlardrum.peer.gen.Digest;
import org.medlardrum.transport.peer.PeerHandler;

/**
 * Passes the messages of other entry hosts to their owners.
 */
final class EntryPeerHandler implements PeerHandler {

	private final Gossip gossip;

	private final ConfigAgent config;

	private final ClaimLedger claims;

	EntryPeerHandler(Gossip gossip, ConfigAgent config, ClaimLedger claims) {
		this.gossip = gossip;
		this.config = config;
		this.claims = claims;
	}

	@Override
	public void digest(Digest digest) {
		this.gossip.receive(digest);
	}

	@Override
	public ConfigPull pullConfig(long afterVersion) {
		return this.config.pull(afterVersion);
	}

	@Override
	public ClaimAnswer claim(ClaimRequest request) {
		return this.claims.claimHere(request);
	}

	@Override
	public boolean recordOutcome(ClaimOutcome outcome) {
		return this.claims.recordOutcomeHere(outcome);
	}

}
