package org.medlardrum.coordination.claims;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicBoolean;

import org.medlardrum.peer.gen.ClaimVerdict;

/**
 * Collects the operations of one bucket and commits them in batches. The pending
 * operations are accessed by the ledger's thread only. A commit may run on another
 * thread; while it does, {@link #isBusy()} is true and the ledger's thread does not
 * access the log.
 */
final class Bucket {

	/** Conflicts with other writers after which a batch fails as unavailable. */
	private static final int MAX_CONFLICTS = 8;

	private final Queue<ClaimOperation> pending = new ArrayDeque<>();

	private final AtomicBoolean busy = new AtomicBoolean();

	private final BucketLog log;

	private final ClaimRules rules;

	private final InstantSource clock;

	private final ClaimOptions options;

	private final ClaimCounters counters;

	private long firstPendingAtMs;

	private long lastCommitAtMs = Long.MIN_VALUE / 2;

	Bucket(BucketLog log, ClaimRules rules, InstantSource clock, ClaimOptions options, ClaimCounters counters) {
		this.log = log;
		this.rules = rules;
		this.clock = clock;
		this.options = options;
		this.counters = counters;
	}

	boolean isBusy() {
		return this.busy.get();
	}

	boolean hasNoPending() {
		return this.pending.isEmpty();
	}

	void add(ClaimOperation operation, long nowMs) {
		if (this.pending.isEmpty()) {
			this.firstPendingAtMs = nowMs;
		}
		this.pending.add(operation);
	}

	/**
	 * Returns when the pending operations are due: the linger time after the first of
	 * them, but not before the minimum interval since the last write has passed.
	 * @return the time in milliseconds since the epoch
	 */
	long dueAtMs() {
		return Math.max(this.firstPendingAtMs + this.options.lingerMs(),
				this.lastCommitAtMs + this.options.minWriteIntervalMs());
	}

	/**
	 * Takes the pending operations for a commit and marks the bucket as busy.
	 * @param nowMs current time, in milliseconds since the epoch
	 * @return the operations whose callers still wait for a decision
	 */
	List<ClaimOperation> beginCommit(long nowMs) {
		List<ClaimOperation> batch = new ArrayList<>(this.pending.size());
		this.pending.stream().filter(ClaimOperation::tryTake).forEach(batch::add);
		this.pending.clear();
		this.lastCommitAtMs = nowMs;
		this.busy.set(true);
		return batch;
	}

	void endCommit() {
		this.busy.set(false);
	}

	/**
	 * Removes segments whose retention has ended.
	 * @param preferredWriter whether the own host is the preferred writer. It reads the
	 * bucket first, so that a bucket without new claims is cleaned up as well
	 */
	void removeExpiredSegments(boolean preferredWriter) {
		long nowMs = this.clock.millis();
		if (preferredWriter && !this.log.isUsable(nowMs)) {
			this.log.refresh(nowMs);
		}
		if (this.log.isLoaded()) {
			this.log.removeExpiredSegments(nowMs);
		}
	}

	/**
	 * Decides a batch and writes the resulting entries, in several writes when the batch
	 * is large.
	 * @param batch the operations
	 */
	void commit(List<ClaimOperation> batch) {
		List<ClaimOperation> undecided = new ArrayList<>(batch);
		long startedAtMs = this.clock.millis();
		boolean indexCurrent = false;
		boolean mayBeStored = false;
		for (int conflicts = 0; conflicts < MAX_CONFLICTS && !undecided.isEmpty();) {
			long nowMs = this.clock.millis();
			if (!indexCurrent && !this.log.isUsable(nowMs)) {
				if (this.log.refresh(nowMs) instanceof WriteResult.NotWritten failed) {
					failAsUnavailable(undecided, failed.reason(), mayBeStored);
					return;
				}
				indexCurrent = true;
			}
			DecidedBatch decided = decide(undecided, nowMs);
			WriteResult result = write(decided, indexCurrent, nowMs);
			switch (result) {
				case WriteResult.Done done -> {
					// After so long, the segment just written may be one that other hosts
					// had created, sealed and removed meanwhile: see BucketLog.isUsable.
					if (this.clock.millis() - startedAtMs > this.log.retentionMs() / 4) {
						failAsUnavailable(undecided, "the host was paused", true);
						return;
					}
					complete(decided, undecided);
					indexCurrent = true;
				}
				case WriteResult.Superseded superseded -> {
					conflicts++;
					if (this.log.refresh(this.clock.millis()) instanceof WriteResult.NotWritten failed) {
						failAsUnavailable(undecided, failed.reason(), mayBeStored);
						return;
					}
					indexCurrent = true;
				}
				case WriteResult.NotWritten failed -> {
					failAsUnavailable(undecided, failed.reason(), mayBeStored);
					return;
				}
				case WriteResult.MayBeWritten lost -> {
					failAsUnavailable(undecided, lost.reason(), true);
					return;
				}
			}
		}
		failAsUnavailable(undecided, "too many conflicts with other writers", mayBeStored);
	}

	private DecidedBatch decide(List<ClaimOperation> undecided, long nowMs) {
		ClaimIndex tentative = this.log.index().child();
		DecidedBatch decided = new DecidedBatch(new LinkedHashMap<>(), new ArrayList<>());
		int sizeBytes = 0;
		for (ClaimOperation operation : undecided) {
			ClaimRules.Ruling ruling = this.rules.decide(operation, tentative, nowMs);
			if (ruling.entry() != null) {
				sizeBytes += Segment.sizeBytes(ruling.entry().line());
				if (sizeBytes > Segment.MAX_BATCH_BYTES) {
					return decided;
				}
				tentative.apply(ruling.entry());
				decided.entries().add(ruling.entry());
			}
			decided.decisions().put(operation, ruling.decision());
		}
		return decided;
	}

	/**
	 * Writes the entries of a batch. A batch without entries needs an up-to-date index
	 * unless all its decisions are final.
	 * @param decided the batch
	 * @param indexCurrent whether the index was refreshed or written in this commit
	 * @param nowMs time before the call, in milliseconds since the epoch
	 * @return {@code Done} when the decisions may be returned to the callers
	 */
	private WriteResult write(DecidedBatch decided, boolean indexCurrent, long nowMs) {
		if (!decided.entries().isEmpty()) {
			return this.log.append(decided.entries(), nowMs);
		}
		if (indexCurrent || decided.decisions().values().stream().allMatch(Decision::isFinal)) {
			return new WriteResult.Done();
		}
		return new WriteResult.Superseded();
	}

	private void complete(DecidedBatch decided, List<ClaimOperation> undecided) {
		decided.decisions().forEach((operation, decision) -> {
			if (operation.isClaim()) {
				this.counters.claims.increment();
				if (decision.answer().getVerdict() == ClaimVerdict.GRANTED) {
					this.counters.granted.increment();
				}
			}
			operation.decision().complete(decision);
		});
		undecided.removeAll(decided.decisions().keySet());
	}

	private void failAsUnavailable(List<ClaimOperation> undecided, String reason, boolean mayBeStored) {
		for (ClaimOperation operation : undecided) {
			operation.decision().complete(Decision.unavailable(this.options.retryAfterMs(), reason, mayBeStored));
		}
	}

	/**
	 * Decisions that become valid with one write.
	 *
	 * @param decisions the decisions
	 * @param entries entries of the write
	 */
	private record DecidedBatch(Map<ClaimOperation, Decision> decisions, List<ClaimEntry> entries) {
	}

}
