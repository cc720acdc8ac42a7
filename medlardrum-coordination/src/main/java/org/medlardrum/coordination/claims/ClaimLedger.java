package org.medlardrum.coordination.claims;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

import org.jctools.queues.MpscArrayQueue;
import org.medlardrum.coordination.PeerNetwork;
import org.medlardrum.coordination.PeerResult;
import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.internal.BackgroundThread;
import org.medlardrum.coordination.internal.Rendezvous;
import org.medlardrum.coordination.membership.Membership;
import org.medlardrum.peer.gen.ClaimAnswer;
import org.medlardrum.peer.gen.ClaimOutcome;
import org.medlardrum.peer.gen.ClaimRequest;
import org.medlardrum.peer.gen.ClaimVerdict;
import org.medlardrum.state.Host;
import org.tinylog.Logger;

/**
 * Records claims on idempotency keys before a non-idempotent request is sent, so that the
 * request is executed at most once.
 *
 * <p>
 * The verdict {@code GRANTED} is returned only after the claim is in the store.
 * {@code attemptId} must be unique for each call of {@link #claim}. When the verdict is
 * {@code STORE_UNAVAILABLE} although the claim may have reached the store, the attempt is
 * released in the background; until that succeeds, a retry with the key receives
 * {@code IN_PROGRESS} for at most the claim's timeout and then {@code OUTCOME_UNKNOWN},
 * and afterwards it may be granted. If the host fails first, retries with the key keep
 * receiving {@code OUTCOME_UNKNOWN}.
 *
 * <pre>{@code
 * ClaimAnswer answer = ledger.claim(request);
 * if (answer.getVerdict() == ClaimVerdict.GRANTED) {
 *     ledger.recordOutcome(run(request));
 * }
 * }</pre>
 */
public final class ClaimLedger implements AutoCloseable {

	private static final int MAILBOX_CAPACITY = 16_384;

	/**
	 * Time for which a host that did not respond is excluded as writer. It still counts
	 * as alive when its claims are decided.
	 */
	private static final long WRITER_EXCLUSION_MS = 10_000;

	private final PeerNetwork peers;

	private final Membership membership;

	private final String ownHostId;

	private final InstantSource clock;

	private final ClaimOptions options;

	private final Executor commitExecutor;

	private final BooleanSupplier driveWhileWaiting;

	private final MpscArrayQueue<ClaimOperation> mailbox = new MpscArrayQueue<>(MAILBOX_CAPACITY);

	private final List<Bucket> buckets = new ArrayList<>(ClaimKey.BUCKETS);

	private final ClaimCounters counters = new ClaimCounters();

	private final Map<String, Long> excludedUntilMs = new ConcurrentHashMap<>();

	private final OutcomeRetryQueue retries;

	private final BackgroundThread thread;

	private long nextCleanupAtMs;

	private volatile boolean closed;

	private volatile long retentionMs;

	public ClaimLedger(PlatformStore store, PeerNetwork peers, Membership membership, String ownHostId,
			InstantSource clock, ClaimOptions options) {
		this(store, peers, membership, ownHostId, clock, options, (task) -> Thread.ofVirtual().start(task), null);
	}

	/**
	 * Creates a ledger that can be driven without its thread.
	 * @param store the store
	 * @param peers the other hosts
	 * @param membership the live hosts
	 * @param ownHostId identifier of the own host
	 * @param clock the clock
	 * @param options settings
	 * @param commitExecutor runs the commits of buckets, at most one for each bucket at a
	 * time
	 * @param driveWhileWaiting called repeatedly while a call waits for its verdict, to
	 * drive {@link #step()}, until it returns {@code false}; {@code null} when the thread
	 * does that
	 */
	ClaimLedger(PlatformStore store, PeerNetwork peers, Membership membership, String ownHostId, InstantSource clock,
			ClaimOptions options, Executor commitExecutor, BooleanSupplier driveWhileWaiting) {
		Objects.requireNonNull(store, "store");
		this.peers = Objects.requireNonNull(peers, "peers");
		this.membership = Objects.requireNonNull(membership, "membership");
		this.ownHostId = Objects.requireNonNull(ownHostId, "ownHostId");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.options = Objects.requireNonNull(options, "options");
		this.commitExecutor = commitExecutor;
		this.driveWhileWaiting = driveWhileWaiting;
		this.retentionMs = options.retentionMs();
		this.retries = new OutcomeRetryQueue(options, this.counters);
		ClaimRules rules = new ClaimRules(membership::isLive, options.retryAfterMs());
		for (int i = 0; i < ClaimKey.BUCKETS; i++) {
			BucketLog log = new BucketLog(i, store, this.counters, () -> this.retentionMs);
			this.buckets.add(new Bucket(log, rules, clock, options, this.counters));
		}
		this.nextCleanupAtMs = clock.millis() + options.cleanupIntervalMs();
		this.thread = new BackgroundThread("claims", this::step);
	}

	/**
	 * Starts the background thread that batches claims by bucket.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public void close() {
		this.closed = true;
		this.thread.close();
	}

	/**
	 * Sets how long a claim is kept after its last entry. A longer retention does not
	 * restore claims that were already removed.
	 * @param retentionMs the time, in milliseconds
	 */
	public void setRetentionMs(long retentionMs) {
		if (retentionMs <= 0) {
			throw new IllegalArgumentException("Claim retention of " + retentionMs + " ms is not positive");
		}
		this.retentionMs = retentionMs;
	}

	/**
	 * Claims a key for one attempt. Blocks until there is a verdict: at most the verdict
	 * timeout at the preferred writer, and once more at the own host.
	 * @param request the claim
	 * @return the verdict
	 */
	public ClaimAnswer claim(ClaimRequest request) {
		boolean mayBeStored = false;
		ClaimOperation operation = ClaimOperation.forClaim(request);
		Optional<Host> writer = preferredWriter(operation.key().bucket());
		if (writer.isPresent()) {
			this.counters.forwarded.increment();
			switch (this.peers.claim(writer.get(), request)) {
				case PeerResult.Ok<ClaimAnswer> ok -> {
					if (ok.value().getVerdict() != ClaimVerdict.STORE_UNAVAILABLE) {
						return ok.value();
					}
					mayBeStored = true;
				}
				case PeerResult.Unreachable<ClaimAnswer> unreachable ->
					this.membership.recordUnreachable(writer.get().id());
				case PeerResult.Unknown<ClaimAnswer> unknown -> {
					mayBeStored = true;
					this.excludedUntilMs.put(writer.get().id(), this.clock.millis() + WRITER_EXCLUSION_MS);
				}
			}
		}
		Decision decision = await(operation);
		if (decision.isUnavailable() && (mayBeStored || decision.mayBeStored())) {
			this.retries.add(releasedOutcome(request), this.clock.millis(), this.clock.millis());
			this.thread.wake();
		}
		return decision.answer();
	}

	/**
	 * Decides a claim as the writer of its bucket, for the own host or for a peer.
	 * @param request the claim
	 * @return the verdict
	 */
	public ClaimAnswer claimAsWriter(ClaimRequest request) {
		this.membership.recordContact(request.getHostId());
		return await(ClaimOperation.forClaim(request)).answer();
	}

	/**
	 * Records that a claimed attempt completed or was released. When the store cannot be
	 * reached, the outcome is kept and retried in the background.
	 * @param outcome the outcome
	 * @return whether the outcome is in the store now
	 */
	public boolean recordOutcome(ClaimOutcome outcome) {
		ClaimOperation operation = ClaimOperation.forOutcome(outcome);
		Optional<Host> writer = preferredWriter(operation.key().bucket());
		if (writer.isPresent()) {
			PeerResult<Boolean> result = this.peers.recordOutcome(writer.get(), outcome);
			if (result instanceof PeerResult.Ok<Boolean> ok && ok.value()) {
				return true;
			}
			if (result instanceof PeerResult.Unreachable<Boolean>) {
				this.membership.recordUnreachable(writer.get().id());
			}
		}
		Decision decision = await(operation);
		if (decision.isUnavailable()) {
			this.retries.add(outcome, this.clock.millis(), this.clock.millis());
			this.thread.wake();
		}
		return isRecorded(decision);
	}

	/**
	 * Records an outcome as the writer of its bucket, for a peer. The peer keeps it for a
	 * retry if this fails.
	 * @param outcome the outcome
	 * @return whether the outcome is in the store now
	 */
	public boolean recordOutcomeAsWriter(ClaimOutcome outcome) {
		return isRecorded(await(ClaimOperation.forOutcome(outcome)));
	}

	private static boolean isRecorded(Decision decision) {
		if (decision.answer().getVerdict() == ClaimVerdict.DIFFERENT_REQUEST) {
			Logger.warn("claims: outcome not recorded: {}", decision.answer().getDetail());
		}
		return decision.answer().getVerdict() == ClaimVerdict.COMPLETED;
	}

	/**
	 * Returns the counters since the start of the ledger.
	 * @return the counters
	 */
	public ClaimStats stats() {
		return new ClaimStats(this.counters.claims.sum(), this.counters.granted.sum(), this.counters.forwarded.sum(),
				this.counters.writes.sum(), this.counters.conflicts.sum(), this.counters.lostAnswers.sum(),
				this.retries.size(), this.counters.droppedOutcomes.sum());
	}

	private Optional<Host> preferredWriter(int bucket) {
		long nowMs = this.clock.millis();
		this.excludedUntilMs.values().removeIf((untilMs) -> untilMs <= nowMs);
		List<Host> candidates = this.membership.livePeers()
			.stream()
			.filter((host) -> !this.membership.isLeaving(host.id()) && !this.excludedUntilMs.containsKey(host.id()))
			.toList();
		List<String> ids = new ArrayList<>(candidates.stream().map(Host::id).toList());
		if (!this.membership.isLeaving(this.ownHostId)) {
			ids.add(this.ownHostId);
		}
		Optional<String> owner = Rendezvous.owner("claims/" + bucket, ids);
		return candidates.stream().filter((host) -> owner.filter(host.id()::equals).isPresent()).findFirst();
	}

	/**
	 * Puts an operation into the mailbox. When the mailbox is full or the ledger is
	 * closed, the operation is completed as unavailable.
	 * @param operation the operation
	 */
	void submit(ClaimOperation operation) {
		if (this.closed || !this.mailbox.offer(operation)) {
			operation.decision()
				.complete(Decision.unavailable(this.options.retryAfterMs(), "too many claims are waiting", false));
			return;
		}
		this.thread.wake();
	}

	private Decision await(ClaimOperation operation) {
		submit(operation);
		if (this.driveWhileWaiting != null) {
			boolean waiting = true;
			while (waiting && !operation.decision().isDone()) {
				waiting = this.driveWhileWaiting.getAsBoolean();
			}
		}
		try {
			return operation.decision().get(this.options.verdictTimeoutMs(), TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			boolean notStarted = operation.tryTake();
			return Decision.unavailable(this.options.retryAfterMs(), "no verdict in time", !notStarted);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Decision.unavailable(this.options.retryAfterMs(), "interrupted", !operation.tryTake());
		}
		catch (ExecutionException ex) {
			return Decision.unavailable(this.options.retryAfterMs(), "claim failed: " + ex.getCause(), true);
		}
	}

	private static ClaimOutcome releasedOutcome(ClaimRequest request) {
		ClaimOutcome outcome = new ClaimOutcome();
		outcome.setOrganisation(request.getOrganisation());
		outcome.setRoute(request.getRoute());
		outcome.setIdempotencyKey(request.getIdempotencyKey());
		outcome.setAttemptId(request.getAttemptId());
		outcome.setReleased(true);
		return outcome;
	}

	/**
	 * Moves operations from the mailbox to their buckets and starts the commits that are
	 * due. Called by the background thread, or by a test that does not start it.
	 * @return time until the next commit is due, in milliseconds
	 */
	public long step() {
		long nowMs = this.clock.millis();
		this.mailbox.drain((operation) -> bucketOf(operation).add(operation, nowMs));
		retryOutcomes(nowMs);
		boolean cleanupDue = nowMs >= this.nextCleanupAtMs;
		if (cleanupDue) {
			this.nextCleanupAtMs = nowMs + this.options.cleanupIntervalMs();
		}
		long waitMs = Long.MAX_VALUE;
		for (Bucket bucket : this.buckets) {
			if (!bucket.isBusy() && (cleanupDue || (!bucket.hasNoPending() && bucket.dueAtMs() <= nowMs))) {
				startCommit(bucket, cleanupDue, nowMs);
			}
			else if (!bucket.isBusy() && !bucket.hasNoPending()) {
				waitMs = Math.min(waitMs, bucket.dueAtMs() - nowMs);
			}
		}
		return waitMs;
	}

	private Bucket bucketOf(ClaimOperation operation) {
		return this.buckets.get(operation.key().bucket());
	}

	private void startCommit(Bucket bucket, boolean cleanupDue, long nowMs) {
		List<ClaimOperation> batch = bucket.beginCommit(nowMs);
		this.commitExecutor.execute(() -> {
			try {
				bucket.commit(batch);
				if (cleanupDue) {
					bucket.removeExpiredSegments(preferredWriter(this.buckets.indexOf(bucket)).isEmpty());
				}
			}
			catch (RuntimeException ex) {
				Logger.error(ex, "claims: commit failed, its operations get no verdict");
				batch.forEach((operation) -> operation.decision().completeExceptionally(ex));
			}
			finally {
				bucket.endCommit();
				this.thread.wake();
			}
		});
	}

	private void retryOutcomes(long nowMs) {
		for (OutcomeRetryQueue.PendingOutcome pending : this.retries.takeDue(nowMs)) {
			ClaimOperation operation = ClaimOperation.forOutcome(pending.outcome());
			operation.decision().whenComplete((decision, failure) -> {
				if (failure != null || decision.isUnavailable()) {
					this.retries.add(pending.outcome(), pending.firstTryAtMs(), this.clock.millis());
				}
			});
			bucketOf(operation).add(operation, nowMs);
		}
	}

}
