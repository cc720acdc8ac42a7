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
	private static final int MAX_TRIES = 8;

	private final Queue<ClaimOperation> waiting = new ArrayDeque<>();

	private final AtomicBoolean busy = new AtomicBoolean();

	private final BucketLog log;

	private final ClaimRules rules;

	private final InstantSource clock;

	private final ClaimOptions options;

	private final ClaimCounters counters;

	private long firstWaitingAtMs;

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

	boolean isIdle() {
		return this.waiting.isEmpty();
	}

	void add(ClaimOperation operation, long nowMs) {
		if (this.waiting.isEmpty()) {
			this.firstWaitingAtMs = nowMs;
		}
		this.waiting.add(operation);
	}

	/**
	 * Returns when the waiting operations are written: soon after the first one, and not
	 * before the group interval since the last write has passed.
	 * @return the time in milliseconds since the epoch
	 */
	long dueAtMs() {
		return Math.max(this.firstWaitingAtMs + this.options.loneWaitMs(),
				this.lastCommitAtMs + this.options.groupIntervalMs());
	}

	/**
	 * Takes the waiting operations for a commit and marks the bucket as busy.
	 * @param nowMs clock reading
	 * @return the operations
	 */
	List<ClaimOperation> beginCommit(long nowMs) {
		List<ClaimOperation> batch = new ArrayList<>(this.waiting.size());
		this.waiting.stream().filter(ClaimOperation::take).forEach(batch::add);
		this.waiting.clear();
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
	void removeOld(boolean writer) {
		long nowMs = this.clock.millis();
		if (writer && !this.log.isUsable(nowMs)) {
			this.log.catchUp(nowMs);
		}
		if (this.log.isLoaded()) {
			this.log.removeOld(nowMs);
		}
	}

	/**
	 * Decides a batch and writes what it needs, in several writes when it is large.
	 * @param batch the operations
	 */
	void commit(List<ClaimOperation> batch) {
		List<ClaimOperation> open = new ArrayList<>(batch);
		long startedAtMs = this.clock.millis();
		boolean fresh = false;
		boolean mayBeStored = false;
		for (int tries = 0; tries < MAX_TRIES && !open.isEmpty();) {
			long nowMs = this.clock.millis();
			if (!fresh && !this.log.isUsable(nowMs)) {
				if (this.log.catchUp(nowMs) instanceof WriteResult.NotWritten failed) {
					giveUp(open, failed.reason(), mayBeStored);
					return;
				}
				fresh = true;
			}
			Round round = decide(open, nowMs);
			WriteResult result = write(round, fresh, nowMs);
			switch (result) {
				case WriteResult.Done done -> {
					if (this.clock.millis() - startedAtMs > this.log.retentionMs() / 4) {
						giveUp(open, "the host was paused", true);
						return;
					}
					complete(round, open);
					fresh = true;
				}
				case WriteResult.Superseded superseded -> {
					tries++;
					if (this.log.catchUp(this.clock.millis()) instanceof WriteResult.NotWritten failed) {
						giveUp(open, failed.reason(), mayBeStored);
						return;
					}
					fresh = true;
				}
				case WriteResult.NotWritten failed -> {
					giveUp(open, failed.reason(), mayBeStored);
					return;
				}
				case WriteResult.MayBeWritten lost -> {
					giveUp(open, lost.reason(), true);
					return;
				}
			}
		}
		giveUp(open, "too many conflicts with other writers", mayBeStored);
	}

	private Round decide(List<ClaimOperation> open, long nowMs) {
		ClaimIndex tentative = this.log.index().child();
		Round round = new Round(new LinkedHashMap<>(), new ArrayList<>());
		int sizeBytes = 0;
		for (ClaimOperation operation : open) {
			ClaimRules.Verdict verdict = this.rules.decide(operation, tentative, nowMs);
			if (verdict.entry() != null) {
				sizeBytes += Segment.sizeBytes(verdict.entry().line());
				if (sizeBytes > Segment.MAX_BATCH_BYTES) {
					return round;
				}
				tentative.apply(verdict.entry());
				round.entries().add(verdict.entry());
			}
			round.decisions().put(operation, verdict.decision());
		}
		return round;
	}

	/**
	 * Writes the entries of a round. A round without entries needs an up-to-date index
	 * unless all its verdicts are final.
	 * @param round the round
	 * @param fresh whether the index was read or written in this commit
	 * @param nowMs clock reading before the call
	 * @return {@code Done} when the verdicts may be given
	 */
	private WriteResult write(Round round, boolean fresh, long nowMs) {
		if (!round.entries().isEmpty()) {
			return this.log.append(round.entries(), nowMs);
		}
		if (fresh || round.decisions().values().stream().allMatch(Decision::isFinal)) {
			return new WriteResult.Done();
		}
		return new WriteResult.Superseded();
	}

	private void complete(Round round, List<ClaimOperation> open) {
		round.decisions().forEach((operation, decision) -> {
			if (operation.isClaim()) {
				this.counters.claims.increment();
				if (decision.answer().getVerdict() == ClaimVerdict.GRANTED) {
					this.counters.granted.increment();
				}
			}
			operation.decision().complete(decision);
		});
		open.removeAll(round.decisions().keySet());
	}

	private void giveUp(List<ClaimOperation> open, String reason, boolean mayBeStored) {
		for (ClaimOperation operation : open) {
			operation.decision().complete(Decision.unavailable(this.options.retryAfterMs(), reason, mayBeStored));
		}
	}

	/**
	 * Verdicts that one write makes valid.
	 *
	 * @param decisions the verdicts
	 * @param entries entries of the write
	 */
	private record Round(Map<ClaimOperation, Decision> decisions, List<ClaimEntry> entries) {
	}

}
