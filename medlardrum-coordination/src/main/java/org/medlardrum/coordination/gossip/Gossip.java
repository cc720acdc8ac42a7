package org.medlardrum.coordination.gossip;

import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

import org.jctools.queues.MpscArrayQueue;
import org.medlardrum.coordination.PeerNetwork;
import org.medlardrum.coordination.internal.BackgroundThread;
import org.medlardrum.coordination.membership.Membership;
import org.medlardrum.decisions.FingerprintStatus;
import org.medlardrum.decisions.HostDemand;
import org.medlardrum.peer.gen.Digest;
import org.medlardrum.peer.gen.OrganisationDemand;
import org.medlardrum.peer.gen.RankDemand;
import org.medlardrum.peer.gen.Rumour;
import org.medlardrum.peer.gen.RumourKind;
import org.medlardrum.state.Host;

/**
 * Exchanges digests with other entry hosts: configuration version, demand and rumours.
 *
 * <pre>{@code
 * Gossip gossip = new Gossip(peers, membership, self, InstantSource.system(), new SplittableRandom(),
 *         GossipOptions.DEFAULT);
 * gossip.onPeerVersion((host, version) -> agent.peerVersionReported(host, version));
 * gossip.start();
 * }</pre>
 *
 * All public methods may be called from any thread. The state is owned by the thread
 * {@code gossip}, which receives messages through a bounded mailbox and publishes
 * immutable copies for readers.
 */
public final class Gossip implements AutoCloseable {

	private static final int MAILBOX_CAPACITY = 4_096;

	/** Replies in each interval, in case a peer sends too often. */
	private static final int MAX_REPLIES = 5;

	/**
	 * Lifetime of the rumour that the own host is leaving; renewed after half of it.
	 */
	private static final long LEAVING_LIFETIME_MS = 60_000;

	private final PeerNetwork peers;

	private final Membership membership;

	private final Host self;

	private final InstantSource clock;

	private final GossipOptions options;

	private final PartnerSelector partners;

	private final DigestBuilder builder;

	private final RumourTable rumours;

	private final SharedCrashLedger crashes;

	private final MpscArrayQueue<Runnable> mailbox = new MpscArrayQueue<>(MAILBOX_CAPACITY);

	private final DemandTable demands;

	private final LongAdder sent = new LongAdder();

	private final LongAdder received = new LongAdder();

	private final LongAdder dropped = new LongAdder();

	private final BackgroundThread thread;

	private volatile BiConsumer<Host, Long> versionListener = (host, version) -> {
	};

	private volatile OwnDemand ownDemand = OwnDemand.NONE;

	private volatile long configVersion;

	private volatile boolean draining;

	private volatile List<Rumour> publishedRumours = List.of();

	private boolean rumoursChanged;

	private long exchangeAtMs;

	private long leavingUntilMs;

	private int replies;

	public Gossip(PeerNetwork peers, Membership membership, Host self, InstantSource clock, RandomGenerator random,
			GossipOptions options) {
		this.peers = Objects.requireNonNull(peers, "peers");
		this.membership = Objects.requireNonNull(membership, "membership");
		this.self = Objects.requireNonNull(self, "self");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.options = Objects.requireNonNull(options, "options");
		this.partners = new PartnerSelector(self.availabilityZone(), options.otherZoneEvery(), random);
		this.builder = new DigestBuilder(options.maxDigestBytes());
		this.rumours = new RumourTable(options.rumourMaxMs(), options.maxRumours());
		this.demands = new DemandTable(options.demandKeepMs());
		this.crashes = new SharedCrashLedger(options.quarantineMs());
		this.exchangeAtMs = clock.millis() + random.nextLong(options.intervalMs());
		this.thread = new BackgroundThread("gossip", this::step);
	}

	/**
	 * Starts the thread that exchanges digests.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public void close() {
		this.thread.close();
	}

	/**
	 * Sets the listener for the configuration versions of peers. It is called on the
	 * gossip thread and must not block.
	 * @param listener receives the peer and its version
	 */
	public void onPeerVersion(BiConsumer<Host, Long> listener) {
		this.versionListener = Objects.requireNonNull(listener, "listener");
	}

	/**
	 * Queues a digest received from the network. It is dropped when the mailbox is full.
	 * @param digest the digest
	 */
	public void receive(Digest digest) {
		enqueue(() -> handle(digest));
	}

	/**
	 * Adds a rumour to spread to other hosts.
	 * @param rumour the rumour
	 */
	public void addRumour(Rumour rumour) {
		Rumour copy = new Rumour(rumour);
		enqueue(() -> merge(copy));
	}

	/**
	 * Sets the own demand that the next digests carry.
	 * @param ranks demand per pool and rank
	 * @param organisations demand per pool and organisation; those with the highest
	 * demand are sent
	 */
	public void publishDemand(List<RankDemand> ranks, List<OrganisationDemand> organisations) {
		this.ownDemand = new OwnDemand(ranks, organisations);
	}

	/**
	 * Sets the own configuration version and sends it to some peers immediately, in
	 * digests without demand and rumours.
	 * @param version the version
	 */
	public void publishVersion(long version) {
		if (version > this.configVersion) {
			this.configVersion = version;
			enqueue(this::pushVersion);
		}
	}

	/**
	 * Sets whether the own host is draining and spreads it to peers.
	 * @param draining whether the host accepts no new requests
	 */
	public void setDraining(boolean draining) {
		boolean withdrawn = this.draining && !draining;
		this.draining = draining;
		if (withdrawn) {
			enqueue(() -> merge(
					new Rumour(RumourKind.CLEARED, this.self.id(), this.clock.millis() + LEAVING_LIFETIME_MS, 0)));
		}
	}

	/**
	 * Returns the demand for a pool of the own host and of the hosts whose digests were
	 * received recently.
	 * @param pool the pool
	 * @return one entry for each host
	 */
	public Collection<HostDemand> demands(String pool) {
		OwnDemand own = this.ownDemand;
		return this.demands.demandFor(pool,
				new ReportedDemand(this.self.id(), own.ranks(), own.organisations(), this.clock.millis()));
	}

	/**
	 * Records the crash of a backend server and spreads the resulting suspicions and
	 * quarantines.
	 * @param server the server
	 * @param bootId boot identifier of the crashed process
	 * @param fingerprints fingerprints of the requests in its batch
	 */
	public void recordCrash(String server, String bootId, Set<String> fingerprints) {
		Set<String> copy = Set.copyOf(fingerprints);
		enqueue(() -> this.crashes.crashed(server, bootId, copy, this.clock.millis()).forEach(this::merge));
	}

	/**
	 * Clears a request that completed, if it was suspected of crashing its server.
	 * @param fingerprint fingerprint of the request
	 */
	public void recordCompletion(String fingerprint) {
		if (this.crashes.isSuspect(fingerprint)) {
			enqueue(() -> this.crashes.completed(fingerprint).ifPresent(this::merge));
		}
	}

	/**
	 * Returns whether a request was in the batch of a crashed server and has not
	 * completed since.
	 * @param fingerprint fingerprint of the request
	 * @return whether it is a suspect, which must not share a server with another one
	 */
	public boolean isSuspect(String fingerprint) {
		return this.crashes.isSuspect(fingerprint);
	}

	/**
	 * Sets the duration of quarantines and suspicions that begin later.
	 * @param value the duration, in milliseconds, more than 0
	 */
	public void setQuarantineMs(long value) {
		enqueue(() -> this.crashes.quarantine(value));
	}

	/**
	 * Returns the end of a request's quarantine.
	 * @param fingerprint fingerprint of the request
	 * @return the end in milliseconds since the epoch, 0 when it is not in quarantine
	 */
	public long quarantinedUntilMs(String fingerprint) {
		return this.crashes.quarantinedUntilMs(fingerprint, this.clock.millis());
	}

	/**
	 * Returns the suspects and the quarantined requests.
	 * @return the crash facts
	 */
	public Collection<FingerprintStatus> crashFacts() {
		return this.crashes.facts();
	}

	/**
	 * Returns the rumours that this host holds.
	 * @return the rumours
	 */
	public List<Rumour> rumours() {
		return this.publishedRumours;
	}

	/**
	 * Returns the counters.
	 * @return the counters
	 */
	public GossipStats stats() {
		return new GossipStats(this.sent.sum(), this.received.sum(), this.dropped.sum(), this.publishedRumours.size());
	}

	private void enqueue(Runnable message) {
		if (!this.mailbox.offer(message)) {
			this.dropped.increment();
			return;
		}
		this.thread.wake();
	}

	/**
	 * Handles the messages in the mailbox and starts an exchange when one is due. Called
	 * by the thread {@code gossip}, or directly by tests.
	 * @return time until the next exchange, in milliseconds
	 */
	public long step() {
		this.mailbox.drain(Runnable::run);
		long nowMs = this.clock.millis();
		if (nowMs >= this.exchangeAtMs) {
			this.exchangeAtMs += this.options.intervalMs();
			if (this.exchangeAtMs <= nowMs) {
				this.exchangeAtMs = nowMs + this.options.intervalMs();
			}
			this.replies = 0;
			removeExpired(nowMs);
			renewLeaving(nowMs);
			this.partners.next(this.membership.livePeers()).ifPresent((peer) -> send(peer, false));
		}
		publish();
		return Math.max(0, this.exchangeAtMs - nowMs);
	}

	private void removeExpired(long nowMs) {
		this.demands.removeExpired(nowMs);
		this.rumours.removeExpired(nowMs);
		this.crashes.expire(nowMs);
		this.rumoursChanged = true;
	}

	private void renewLeaving(long nowMs) {
		if (this.draining && this.leavingUntilMs - nowMs < LEAVING_LIFETIME_MS / 2) {
			this.leavingUntilMs = nowMs + LEAVING_LIFETIME_MS;
			merge(new Rumour(RumourKind.LEAVING, this.self.id(), this.leavingUntilMs, 0));
		}
	}

	private void handle(Digest digest) {
		if (digest.getHostId() == null || digest.getHostId().equals(this.self.id())) {
			return;
		}
		this.received.increment();
		long nowMs = this.clock.millis();
		this.membership.recordContact(digest.getHostId());
		if (digest.isDraining()) {
			this.membership.recordLeavingRumour(digest.getHostId(), nowMs + this.options.demandKeepMs());
		}
		this.demands.update(digest, nowMs);
		if (digest.isSetRumours()) {
			digest.getRumours().forEach(this::merge);
		}
		this.membership.findHost(digest.getHostId()).ifPresent((peer) -> reply(peer, digest));
	}

	private void reply(Host peer, Digest digest) {
		if (!digest.isReply() && this.replies < MAX_REPLIES) {
			this.replies++;
			send(peer, true);
		}
		this.versionListener.accept(peer, digest.getConfigVersion());
	}

	private void merge(Rumour rumour) {
		Rumour merged = this.rumours.merge(rumour, this.clock.millis());
		if (merged == null) {
			return;
		}
		this.rumoursChanged = true;
		switch (merged.getKind()) {
			case LEAVING -> this.membership.recordLeavingRumour(merged.getSubject(), merged.getUntilMs());
			case CLEARED -> mergeCleared(merged);
			case QUARANTINED, SUSPECT -> this.crashes.merge(merged, this.clock.millis());
		}
	}

	private void mergeCleared(Rumour rumour) {
		// A rumour that expires later than the CLEARED one remains valid.
		if (!this.rumours.contains(RumourKind.LEAVING, rumour.getSubject())) {
			this.membership.recordLeavingRumour(rumour.getSubject(), 0);
		}
		if (!this.rumours.contains(RumourKind.SUSPECT, rumour.getSubject())) {
			this.crashes.merge(rumour, this.clock.millis());
		}
	}

	private void pushVersion() {
		for (Host peer : this.partners.any(this.membership.livePeers(), this.options.pushFanOut())) {
			this.sent.increment();
			this.peers.send(peer, createDigest(true));
		}
	}

	private void send(Host peer, boolean reply) {
		Digest digest = createDigest(reply);
		this.rumours.recordSent(this.builder.fill(digest, this.ownDemand, this.rumours.inSendingOrder()));
		this.sent.increment();
		this.peers.send(peer, digest);
	}

	private Digest createDigest(boolean reply) {
		Digest digest = new Digest();
		digest.setHostId(this.self.id());
		digest.setAvailabilityZone(this.self.availabilityZone());
		digest.setConfigVersion(this.configVersion);
		digest.setDraining(this.draining);
		digest.setSentAtMs(this.clock.millis());
		digest.setReply(reply);
		return digest;
	}

	private void publish() {
		this.demands.publish();
		this.crashes.publish();
		if (this.rumoursChanged) {
			this.rumoursChanged = false;
			this.publishedRumours = this.rumours.inSendingOrder();
		}
	}

}
