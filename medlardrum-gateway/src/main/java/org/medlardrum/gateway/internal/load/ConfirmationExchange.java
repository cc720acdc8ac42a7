package org.medlardrum.gateway.internal.load;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import org.medlardrum.coordination.StoreVersion;
import org.medlardrum.coordination.follow.PeerConfirmations;
import org.medlardrum.coordination.follow.StoreReads;
import org.medlardrum.gateway.GatewayClock;
import org.medlardrum.peer.gen.Digest;
import org.medlardrum.peer.gen.StoreVersionQuery;
import org.medlardrum.peer.gen.StoreVersionReply;
import org.medlardrum.state.Host;
import org.medlardrum.state.HostState;

/**
 * Confirms the configuration through another host of the availability zone, so that one
 * host of a zone reads the store's version for all. A host asks the first host of its
 * zone, in the order of their identifiers, that answers; the first one reads the store. A
 * host that gets no answer in time reads the store itself.
 */
public final class ConfirmationExchange implements PeerConfirmations {

	/** Unanswered questions after which a host is not asked for a while. */
	private static final int MAX_MISSES = 2;

	/** Time for which a host that does not answer is not asked. */
	private static final long SILENCE_PAUSE_MS = 5_000;

	private static final int MAX_WAITING = 256;

	private static final long UNKNOWN_AGE_MS = -1;

	private final String hostId;

	private final String availabilityZone;

	private final String peerAddress;

	private final BiConsumer<Host, Digest> sender;

	private final GatewayClock clock;

	private final Supplier<Digest> digests;

	private final AtomicLong lastQueryId = new AtomicLong();

	private final Map<Long, CompletableFuture<StoreVersionReply>> pending = new ConcurrentHashMap<>();

	private final Map<String, Silence> silences = new HashMap<>();

	private final Map<String, StoreVersionQuery> waiting = new HashMap<>();

	private volatile List<Host> candidates = List.of();

	private volatile StoreReads reads;

	/**
	 * Creates an exchange without other hosts.
	 * @param hostId identifier of the host
	 * @param availabilityZone availability zone of the host
	 * @param peerAddress {@code ip:port} at which the host receives digests
	 * @param sender sends a digest to another host without reporting its loss
	 * @param clock the clocks
	 * @param digests creates digests with the state of the host and without its load
	 */
	public ConfirmationExchange(String hostId, String availabilityZone, String peerAddress,
			BiConsumer<Host, Digest> sender, GatewayClock clock, Supplier<Digest> digests) {
		this.hostId = hostId;
		this.availabilityZone = availabilityZone;
		this.peerAddress = peerAddress;
		this.sender = sender;
		this.clock = clock;
		this.digests = digests;
	}

	/**
	 * Sets the reads of the store that answer the questions of other hosts.
	 * @param storeReads the reads
	 */
	public void serve(StoreReads storeReads) {
		this.reads = storeReads;
		storeReads.onRead(this::answerWaiting);
	}

	/**
	 * Replaces the other hosts.
	 * @param hosts the hosts without this one
	 */
	public void updatePeers(Collection<Host> hosts) {
		this.candidates = hosts.stream()
			.filter((host) -> host.availabilityZone().equals(this.availabilityZone)
					&& host.id().compareTo(this.hostId) < 0)
			.sorted(Comparator.comparing(Host::id))
			.toList();
	}

	@Override
	public Optional<PeerConfirmation> ask() {
		Optional<Host> host = chooseHost();
		if (host.isEmpty()) {
			return Optional.empty();
		}
		long id = this.lastQueryId.incrementAndGet();
		CompletableFuture<StoreVersionReply> reply = new CompletableFuture<>();
		this.pending.put(id, reply);
		try {
			Digest digest = this.digests.get();
			digest.setStoreVersionQuery(new StoreVersionQuery(id, this.peerAddress));
			this.sender.accept(host.get(), digest);
			StoreVersionReply answer = reply.get(ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
			recordAnswer(host.get().id(), answer.getAgeMs() >= 0);
			return (answer.getAgeMs() >= 0) ? Optional
				.of(new PeerConfirmation(new StoreVersion(answer.getEra(), answer.getRevision()), answer.getAgeMs()))
					: Optional.empty();
		}
		catch (TimeoutException | ExecutionException ex) {
			recordAnswer(host.get().id(), false);
			return Optional.empty();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Optional.empty();
		}
		finally {
			this.pending.remove(id);
		}
	}

	private synchronized Optional<Host> chooseHost() {
		long nowMs = this.clock.monotonicMs();
		return this.candidates.stream()
			.filter((host) -> !this.silences.containsKey(host.id())
					|| this.silences.get(host.id()).pausedUntilMs <= nowMs)
			.findFirst();
	}

	private synchronized void recordAnswer(String host, boolean answered) {
		if (answered) {
			this.silences.remove(host);
			return;
		}
		int misses = this.silences.getOrDefault(host, Silence.NONE).misses + 1;
		this.silences.put(host, new Silence(misses,
				(misses >= MAX_MISSES) ? this.clock.monotonicMs() + SILENCE_PAUSE_MS : Long.MIN_VALUE));
	}

	/**
	 * Receives a digest of another host, which may hold a question or an answer.
	 * @param digest the digest
	 */
	void receive(Digest digest) {
		if (digest.isSetStoreVersionReply()) {
			CompletableFuture<StoreVersionReply> reply = this.pending.get(digest.getStoreVersionReply().getId());
			if (reply != null) {
				reply.complete(digest.getStoreVersionReply());
			}
		}
		if (digest.isSetStoreVersionQuery() && digest.getStoreVersionQuery().isSetReplyAddress()) {
			onQuery(digest.getHostId(), digest.getStoreVersionQuery());
		}
	}

	private void onQuery(String askingHost, StoreVersionQuery query) {
		StoreReads storeReads = this.reads;
		if (storeReads == null) {
			return;
		}
		Optional<PeerConfirmation> last = storeReads.lastRead(storeReads.maxReadAgeMs());
		if (last.isPresent()) {
			answer(askingHost, query, last);
			return;
		}
		synchronized (this) {
			if (this.waiting.size() >= MAX_WAITING) {
				return;
			}
			this.waiting.put(askingHost, query);
		}
		storeReads.requestRead();
	}

	private void answerWaiting() {
		Map<String, StoreVersionQuery> asking;
		synchronized (this) {
			asking = Map.copyOf(this.waiting);
			this.waiting.clear();
		}
		Optional<PeerConfirmation> last = this.reads.lastRead(this.reads.maxReadAgeMs());
		asking.forEach((host, query) -> answer(host, query, last));
	}

	private void answer(String askingHost, StoreVersionQuery query, Optional<PeerConfirmation> read) {
		StoreVersionReply reply = read
			.map((confirmed) -> new StoreVersionReply(query.getId(), confirmed.newest().era(),
					confirmed.newest().revision(), confirmed.ageMs()))
			.orElseGet(() -> new StoreVersionReply(query.getId(), 0, 0, UNKNOWN_AGE_MS));
		Digest digest = this.digests.get();
		digest.setStoreVersionReply(reply);
		this.sender.accept(new Host(askingHost, this.availabilityZone, "", query.getReplyAddress(), "", HostState.LIVE),
				digest);
	}

	/**
	 * Unanswered questions to a host.
	 *
	 * @param misses number of questions since its last answer
	 * @param pausedUntilMs time on the monotonic clock until which it is not asked
	 */
	private record Silence(int misses, long pausedUntilMs) {

		private static final Silence NONE = new Silence(0, Long.MIN_VALUE);

	}

}
