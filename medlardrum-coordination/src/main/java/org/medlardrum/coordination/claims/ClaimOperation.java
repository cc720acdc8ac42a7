package org.medlardrum.coordination.claims;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

import org.medlardrum.peer.gen.ClaimOutcome;
import org.medlardrum.peer.gen.ClaimRequest;

/**
 * An operation on one key: a claim, or the outcome of a claimed attempt.
 */
final class ClaimOperation {

	private final ClaimKey key;

	private final ClaimRequest request;

	private final ClaimOutcome outcome;

	private final CompletableFuture<Decision> decision = new CompletableFuture<>();

	private final AtomicBoolean taken = new AtomicBoolean();

	private ClaimOperation(ClaimKey key, ClaimRequest request, ClaimOutcome outcome) {
		this.key = key;
		this.request = request;
		this.outcome = outcome;
	}

	static ClaimOperation forClaim(ClaimRequest request) {
		ClaimKey key = ClaimKey.of(request.getOrganisation(), request.getRoute(), request.getIdempotencyKey());
		return new ClaimOperation(key, request, null);
	}

	static ClaimOperation forOutcome(ClaimOutcome outcome) {
		ClaimKey key = ClaimKey.of(outcome.getOrganisation(), outcome.getRoute(), outcome.getIdempotencyKey());
		return new ClaimOperation(key, null, outcome);
	}

	ClaimKey key() {
		return this.key;
	}

	boolean isClaim() {
		return this.request != null;
	}

	/**
	 * Returns the claim.
	 * @return the claim, {@code null} unless {@link #isClaim()}
	 */
	ClaimRequest request() {
		return this.request;
	}

	/**
	 * Returns the outcome.
	 * @return the outcome, {@code null} if {@link #isClaim()}
	 */
	ClaimOutcome outcome() {
		return this.outcome;
	}

	CompletableFuture<Decision> decision() {
		return this.decision;
	}

	/**
	 * Takes the operation, either to commit it or to abandon it after a timeout. The
	 * committing thread and the waiting caller may both try; only the first succeeds.
	 * @return whether this call was the first
	 */
	boolean tryTake() {
		return this.taken.compareAndSet(false, true);
	}

}
