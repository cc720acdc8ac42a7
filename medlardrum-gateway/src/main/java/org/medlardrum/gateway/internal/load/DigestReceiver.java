package org.medlardrum.gateway.internal.load;

import org.medlardrum.peer.gen.ClaimAnswer;
import org.medlardrum.peer.gen.ClaimOutcome;
import org.medlardrum.peer.gen.ClaimRequest;
import org.medlardrum.peer.gen.ClaimVerdict;
import org.medlardrum.peer.gen.ConfigPull;
import org.medlardrum.peer.gen.Digest;
import org.medlardrum.transport.peer.PeerHandler;

/**
 * Receives the digests of other hosts. A gateway keeps no claims and reads its
 * configuration only from the platform's store, so all other calls receive an empty or
 * negative response.
 */
public final class DigestReceiver implements PeerHandler {

	private final LoadExchange exchange;

	/**
	 * Creates a receiver.
	 * @param exchange receives the digests
	 */
	public DigestReceiver(LoadExchange exchange) {
		this.exchange = exchange;
	}

	@Override
	public void handleDigest(Digest digest) {
		this.exchange.receive(digest);
	}

	@Override
	public ConfigPull pullConfig(long afterVersion) {
		return new ConfigPull();
	}

	@Override
	public String hostListJson() {
		return "{}";
	}

	@Override
	public ClaimAnswer claim(ClaimRequest request) {
		ClaimAnswer answer = new ClaimAnswer();
		answer.setVerdict(ClaimVerdict.STORE_UNAVAILABLE);
		return answer;
	}

	@Override
	public boolean recordOutcome(ClaimOutcome outcome) {
		return false;
	}

}
