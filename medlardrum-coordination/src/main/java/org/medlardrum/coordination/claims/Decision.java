package org.medlardrum.coordination.claims;

import org.medlardrum.peer.gen.ClaimAnswer;
import org.medlardrum.peer.gen.ClaimVerdict;

/**
 * Result of a {@link ClaimOperation}.
 *
 * @param answer verdict of a claim. For an outcome, {@code COMPLETED} means recorded and
 * {@code DIFFERENT_REQUEST} that the attempt does not hold the key
 * @param mayBeStored whether the store may contain the claim, now or later, although the
 * verdict is {@code STORE_UNAVAILABLE}
 */
record Decision(ClaimAnswer answer, boolean mayBeStored) {

	static Decision of(ClaimVerdict verdict, long retryAfterMs, String detail) {
		return new Decision(answer(verdict, retryAfterMs, detail), false);
	}

	static Decision unavailable(long retryAfterMs, String detail, boolean mayBeStored) {
		return new Decision(answer(ClaimVerdict.STORE_UNAVAILABLE, retryAfterMs, detail), mayBeStored);
	}

	static ClaimAnswer answer(ClaimVerdict verdict, long retryAfterMs, String detail) {
		ClaimAnswer answer = new ClaimAnswer();
		answer.setVerdict(verdict);
		answer.setRetryAfterMs(retryAfterMs);
		answer.setDetail(detail);
		return answer;
	}

	boolean isUnavailable() {
		return this.answer.getVerdict() == ClaimVerdict.STORE_UNAVAILABLE;
	}

	/**
	 * Returns whether the verdict is one that newer entries of the bucket cannot change.
	 * @return whether the verdict is valid even if the index is not up to date
	 */
	boolean isFinal() {
		return this.answer.getVerdict() == ClaimVerdict.COMPLETED
				|| this.answer.getVerdict() == ClaimVerdict.DIFFERENT_REQUEST;
	}

}
