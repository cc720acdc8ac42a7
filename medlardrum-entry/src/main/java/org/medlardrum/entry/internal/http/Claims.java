package org.medlardrum.entry.internal.http;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

import org.medlardrum.coordination.claims.ClaimLedger;
import org.medlardrum.entry.internal.service.ServiceJob;
import org.medlardrum.peer.gen.ClaimAnswer;
import org.medlardrum.peer.gen.ClaimOutcome;
import org.medlardrum.peer.gen.ClaimRequest;
import org.medlardrum.protocol.problem.Problem;
import org.medlardrum.protocol.problem.ProblemType;
import org.medlardrum.state.Outcome;
import org.medlardrum.transport.ServiceResponse;
import org.tinylog.Logger;

/**
 * Claims the idempotency keys of non-idempotent calls before they run, and records their
 * outcomes afterwards.
 */
final class Claims {

	private static final int MAX_STORED_BODY_BYTES = 2048;

	private final ClaimLedger ledger;

	private final String hostId;

	Claims(ClaimLedger ledger, String hostId) {
		this.ledger = ledger;
		this.hostId = hostId;
	}

	Claim claim(ServiceJob job) {
		String attemptId = UUID.randomUUID().toString();
		ClaimAnswer answer = this.ledger.claim(new ClaimRequest(job.organisation(), job.route(), job.idempotencyKey(),
				job.fingerprint(), this.hostId, attemptId, job.timeoutMs()));
		long retryAfterMs = Math.max(CallerContext.MIN_RETRY_AFTER_MS, answer.getRetryAfterMs());
		return switch (answer.getVerdict()) {
			case GRANTED -> new Claim(attemptId, null, null);
			case COMPLETED -> new Claim(attemptId, toResponse(answer.getOutcome()), null);
			// The earlier request may still run. With "no", the caller might retry
			// with a new key, and the call would run twice.
			case IN_PROGRESS -> rejected(new Problem(ProblemType.IN_PROGRESS,
					"a request with this idempotency key is running", job.rank(), "unknown", retryAfterMs));
			case OUTCOME_UNKNOWN -> rejected(Problem.mayHaveRun(ProblemType.OUTCOME_UNKNOWN,
					"the outcome of the earlier request with this idempotency key is unknown", job.rank()));
			case DIFFERENT_REQUEST -> rejected(Problem.notRun(ProblemType.KEY_REUSED,
					"the idempotency key was used with another request", job.rank(), 0));
			case STORE_UNAVAILABLE -> rejected(Problem.notRun(ProblemType.CLAIMS_UNAVAILABLE,
					"the claim could not be recorded", job.rank(), retryAfterMs));
		};
	}

	void record(ServiceJob job, Claim claim, Outcome<ServiceResponse> outcome) {
		ClaimOutcome record = new ClaimOutcome();
		record.setOrganisation(job.organisation());
		record.setRoute(job.route());
		record.setIdempotencyKey(job.idempotencyKey());
		record.setAttemptId(claim.attemptId());
		switch (outcome) {
			case Outcome.Completed<ServiceResponse> completed -> storeResponse(record, completed.value());
			case Outcome.NotRun<ServiceResponse> notRun -> record.setReleased(true);
			case Outcome.MayHaveRun<ServiceResponse> unclear -> {
				// The claim is kept, so that a retry gets "outcome unknown".
				return;
			}
		}
		if (!this.ledger.recordOutcome(record)) {
			Logger.warn("claims: outcome of request {} not recorded yet; until then a retry cannot get its response",
					job.requestId());
		}
	}

	private static void storeResponse(ClaimOutcome record, ServiceResponse response) {
		boolean fits = response.body().length <= MAX_STORED_BODY_BYTES;
		record.setStatus(response.status());
		record.setBody((fits) ? response.body() : new byte[0]);
		record.setBodyComplete(fits);
		for (int i = 0; i + 1 < response.headers().size(); i += 2) {
			if (response.headers().get(i).equalsIgnoreCase("Content-Type")) {
				record.setContentType(response.headers().get(i + 1));
			}
		}
	}

	private static ServiceResponse toResponse(ClaimOutcome outcome) {
		List<String> headers = new ArrayList<>();
		if (outcome.getContentType() != null && outcome.isBodyComplete()) {
			headers.addAll(List.of("Content-Type", outcome.getContentType()));
		}
		return new ServiceResponse(outcome.getStatus(), headers,
				(outcome.isSetBody()) ? outcome.getBody() : new byte[0]);
	}

	private static Claim rejected(Problem problem) {
		return new Claim(null, null, problem);
	}

	/**
	 * Result of a claim. The call may run only if there is neither an earlier response
	 * nor a problem.
	 *
	 * @param attemptId identifier of the claim, {@code null} when there is a problem
	 * @param earlierResponse response to an earlier request with the key, or {@code null}
	 * @param problem why the call may not run, or {@code null}
	 */
	record Claim(String attemptId, ServiceResponse earlierResponse, Problem problem) {
	}

}
