package org.medlardrum.transport.peer;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

import org.medlardrum.peer.gen.ClaimAnswer;
import org.medlardrum.peer.gen.ClaimOutcome;
import org.medlardrum.peer.gen.ClaimRequest;
import org.medlardrum.peer.gen.ClaimVerdict;
import org.medlardrum.peer.gen.ConfigPull;
import org.medlardrum.peer.gen.Digest;

/**
 * Handler that records what it is asked and grants every claim.
 */
class RecordingHandler implements PeerHandler {

	final BlockingQueue<Digest> digests = new LinkedBlockingQueue<>();

	final List<ClaimRequest> claims = new CopyOnWriteArrayList<>();

	final List<ClaimOutcome> outcomes = new CopyOnWriteArrayList<>();

	@Override
	public String hostListJson() {
		return "{\"revision\":7,\"entryHosts\":[],\"backendServers\":[]}";
	}

	@Override
	public void handleDigest(Digest digest) {
		this.digests.add(digest);
	}

	@Override
	public ConfigPull pullConfig(long afterVersion) {
		return new ConfigPull(afterVersion + 1, List.of());
	}

	@Override
	public ClaimAnswer claim(ClaimRequest request) {
		this.claims.add(request);
		return new ClaimAnswer(ClaimVerdict.GRANTED, 0, "");
	}

	@Override
	public boolean recordOutcome(ClaimOutcome outcome) {
		this.outcomes.add(outcome);
		return true;
	}

}
