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
 * One bucket: operations that wait for the next write, and the write itself. The waiting
 * operations belong to the ledger's thread. A commit may run on another thread; while it
 * does, {@link #isBusy()} is set and the ledger's thread leaves the log alone.
 */
final class Bucket {

	/** Conflicts with other writers of the bucket before a batch is given up. */
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
	 * Returns when the waiting operations are written: soon after the first one, and not
	 * before the group interval since the last write has passed.
	 * @return the time in milliseconds since the epoch
	 */
	long dueAtMs() {
		return Math.max(this.firstPendingAtMs + this.options.lingerMs(),
				this.lastCommitAtMs + this.options.minWriteIntervalMs());
	}

	/**
	 * Takes the waiting operations for a commit and marks the bucket as busy.
	 * @param nowMs clock reading
	 * @return the operations
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
	 * Removes old segments.
	 * @param writer whether the own host is the preferred writer; it reads the bucket
	 * first, so that a bucket without new claims is cleaned too
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
	 * Decides a batch and writes what it needs, in several writes when it is large.
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
	 * Writes the entries of a round. A round without entries needs an up-to-date index
	 * unless all its verdicts are final.
	 * @param round the round
	 * @param fresh whether the index was read or written in this commit
	 * @param nowMs clock reading before the call
	 * @return {@code Done} when the verdicts may be given
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
	 * Verdicts that one write makes valid.
	 *
	 * @param decisions the verdicts
	 * @param entries entries of the write
	 */
	private record DecidedBatch(Map<ClaimOperation, Decision> decisions, List<ClaimEntry> entries) {
	}

}
