package org.medlardrum.entry.internal.host;

import com.google.gson.Gson;
import org.medlardrum.coordination.claims.ClaimLedger;
import org.medlardrum.coordination.config.ConfigAgent;
import org.medlardrum.coordination.gossip.Gossip;
import org.medlardrum.coordination.membership.Membership;
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

	private static final Gson GSON = new Gson();

	private final Gossip gossip;

	private final Membership membership;

	private final ConfigAgent config;

	private final ClaimLedger claims;

	EntryPeerHandler(Gossip gossip, ConfigAgent config, ClaimLedger claims, Membership membership) {
		this.membership = membership;
		this.gossip = gossip;
		this.config = config;
		this.claims = claims;
	}

	@Override
	public void handleDigest(Digest digest) {
		this.gossip.receive(digest);
	}

	@Override
	public ConfigPull pullConfig(long afterVersion) {
		return this.config.pull(afterVersion);
	}

	@Override
	public String hostListJson() {
		return GSON.toJson(this.membership.directory());
	}

	@Override
	public ClaimAnswer claim(ClaimRequest request) {
		return this.claims.claimAsWriter(request);
	}

	@Override
	public boolean recordOutcome(ClaimOutcome outcome) {
		return this.claims.recordOutcomeAsWriter(outcome);
	}

}
