package org.medlardrum.coordination.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.medlardrum.coordination.FakePlatformStore;
import org.medlardrum.coordination.PeerNetwork;
import org.medlardrum.coordination.PeerResult;
import org.medlardrum.coordination.TestHosts;
import org.medlardrum.coordination.membership.Membership;
import org.medlardrum.coordination.membership.MembershipOptions;
import org.medlardrum.peer.gen.ClaimAnswer;
import org.medlardrum.peer.gen.ClaimOutcome;
import org.medlardrum.peer.gen.ClaimRequest;
import org.medlardrum.peer.gen.ConfigPull;
import org.medlardrum.peer.gen.Digest;
import org.medlardrum.state.Host;
import org.medlardrum.state.ManualClock;

/**
 * Hosts that gossip in memory over a network that loses datagrams.
 */
final class GossipCluster implements PeerNetwork {

	final ManualClock clock = new ManualClock(1_000_000_000_000L);

	final List<Gossip> hosts = new ArrayList<>();

	final List<Membership> memberships = new ArrayList<>();

	final List<Digest> sent = new ArrayList<>();

	final List<Host> receivers = new ArrayList<>();

	private final Random random;

	private final double loss;

	boolean keepDigests = true;

	GossipCluster(int count, int zones, double loss, long seed) {
		this.random = new Random(seed);
		this.loss = loss;
		FakePlatformStore store = new FakePlatformStore(this.clock);
		store.setHosts(TestHosts.directory(1, count, zones));
		for (int i = 0; i < count; i++) {
			Host self = TestHosts.host(i, zones);
			Membership membership = new Membership(store, self.id(), this.clock, MembershipOptions.DEFAULT);
			membership.step();
			this.memberships.add(membership);
			this.hosts.add(new Gossip(this, membership, self, this.clock, this.random, GossipOptions.DEFAULT));
		}
	}

	/**
	 * Runs one exchange interval.
	 */
	void round() {
		for (int part = 0; part < 10; part++) {
			this.clock.advance(100);
			this.hosts.forEach(Gossip::step);
		}
	}

	@Override
	public void send(Host peer, Digest digest) {
		if (this.keepDigests) {
			this.sent.add(digest);
			this.receivers.add(peer);
		}
		if (this.random.nextDouble() >= this.loss) {
			this.hosts.get(Integer.parseInt(peer.id().substring(6))).receive(digest.deepCopy());
		}
	}

	@Override
	public PeerResult<ConfigPull> pullConfig(Host peer, long afterVersion) {
		return new PeerResult.Unreachable<>("not used");
	}

	@Override
	public PeerResult<ClaimAnswer> claim(Host peer, ClaimRequest request) {
		return new PeerResult.Unreachable<>("not used");
	}

	@Override
	public PeerResult<Boolean> recordOutcome(Host peer, ClaimOutcome outcome) {
		return new PeerResult.Unreachable<>("not used");
	}

}
