package org.medlardrum.coordination.claims;

import java.util.function.Predicate;

import org.medlardrum.peer.gen.ClaimOutcome;
import org.medlardrum.peer.gen.ClaimRequest;
import org.medlardrum.peer.gen.ClaimVerdict;

/**
 * Decides claims and outcomes by the state of their key.
 */
final class ClaimRules {

	/** Lower limit of the retry time sent for a request that is in progress. */
	private static final long MIN_RETRY_MS = 100;

	/** Upper limit of the retry time sent for a request that is in progress. */
	private static final long MAX_RETRY_MS = 5_000;

	private final Predicate<String> isLive;

	private final long retryAfterMs;

	ClaimRules(Predicate<String> isLive, long retryAfterMs) {
		this.isLive = isLive;
		this.retryAfterMs = retryAfterMs;
	}

	/**
	 * Decides one operation.
	 * @param operation the operation
	 * @param index index of its bucket
	 * @param nowMs current time, in milliseconds since the epoch
	 * @return the decision, and the entry that must be in the store before the decision
	 * is returned
	 */
	Ruling decide(ClaimOperation operation, ClaimIndex index, long nowMs) {
		KeyState state = index.get(operation.key().id(), nowMs);
		return (operation.isClaim()) ? decideClaim(operation, state, nowMs) : decideOutcome(operation, state, nowMs);
	}

	private Ruling decideClaim(ClaimOperation operation, KeyState state, long nowMs) {
		ClaimRequest request = operation.request();
		if (state != null && state.released().contains(request.getAttemptId())) {
			return Ruling.of(Decision.unavailable(this.retryAfterMs, "this attempt was withdrawn", false));
		}
		String digest = ClaimKey.shortDigest(request.getRequestDigest());
		if (state == null || state.current() == null) {
			return grant(operation, digest, nowMs);
		}
		ClaimEntry current = state.current();
		if (!current.digest().equals(digest)) {
			return Ruling
				.of(Decision.of(ClaimVerdict.DIFFERENT_REQUEST, 0, "the key was used with a different request"));
		}
		return switch (current.kind()) {
			case COMPLETED -> {
				Decision decision = Decision.of(ClaimVerdict.COMPLETED, 0, "");
				decision.answer().setOutcome(current.outcome(request));
				yield Ruling.of(decision);
			}
			case RELEASED -> grant(operation, digest, nowMs);
			case CLAIMED, SEALED -> (state.isOpenFor(request.getAttemptId()))
					? Ruling.of(Decision.of(ClaimVerdict.GRANTED, 0, "")) : Ruling.of(decideOpenClaim(current, nowMs));
		};
	}

	private static Ruling grant(ClaimOperation operation, String digest, long nowMs) {
		ClaimEntry entry = ClaimEntry.claimed(operation.key(), digest, operation.request(), nowMs);
		return new Ruling(Decision.of(ClaimVerdict.GRANTED, 0, ""), entry);
	}

	private Decision decideOpenClaim(ClaimEntry claim, long nowMs) {
		long endsAtMs = claim.atMs() + ((claim.timeoutMs() != null) ? claim.timeoutMs() : 0);
		if (nowMs < endsAtMs && this.isLive.test(claim.hostId())) {
			long retryMs = Math.clamp(endsAtMs - nowMs, MIN_RETRY_MS, MAX_RETRY_MS);
			return Decision.of(ClaimVerdict.IN_PROGRESS, retryMs, "the first request with this key is in progress");
		}
		return Decision.of(ClaimVerdict.OUTCOME_UNKNOWN, 0,
				"the first request with this key may have run, and its outcome is not known");
	}

	private static Ruling decideOutcome(ClaimOperation operation, KeyState state, long nowMs) {
		ClaimOutcome outcome = operation.outcome();
		String attemptId = outcome.getAttemptId();
		boolean open = state != null && state.isOpenFor(attemptId);
		if (outcome.isReleased()) {
			if (state != null && (state.released().contains(attemptId) || (!open && isCurrent(state, attemptId)))) {
				return Ruling.of(Decision.of(ClaimVerdict.COMPLETED, 0, ""));
			}
			// Written even when the claim is not in the store: a write of this attempt's
			// claim that is still on its way then fails its compare-and-set.
			String digest = (open) ? state.current().digest() : null;
			return new Ruling(Decision.of(ClaimVerdict.COMPLETED, 0, ""),
					ClaimEntry.released(operation.key(), digest, attemptId, nowMs));
		}
		if (open) {
			return new Ruling(Decision.of(ClaimVerdict.COMPLETED, 0, ""),
					ClaimEntry.completed(state.current(), outcome, nowMs));
		}
		boolean recorded = isCurrent(state, attemptId) && state.current().kind() == EntryKind.COMPLETED;
		return Ruling.of((recorded) ? Decision.of(ClaimVerdict.COMPLETED, 0, "")
				: Decision.of(ClaimVerdict.DIFFERENT_REQUEST, 0, "the attempt does not hold the key"));
	}

	private static boolean isCurrent(KeyState state, String attemptId) {
		return state != null && state.current() != null && state.current().attemptId().equals(attemptId);
	}

	/**
	 * A decision and the entry that must be written before it is returned.
	 *
	 * @param decision the decision
	 * @param entry entry to write, {@code null} for none
	 */
	record Ruling(Decision decision, ClaimEntry entry) {

		static Ruling of(Decision decision) {
			return new Ruling(decision, null);
		}

	}

}
