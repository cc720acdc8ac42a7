package org.medlardrum.coordination.claims;

import java.util.Base64;

import com.google.gson.Gson;
import com.google.gson.annotations.SerializedName;
import org.medlardrum.peer.gen.ClaimOutcome;
import org.medlardrum.peer.gen.ClaimRequest;

/**
 * One line of a segment, as JSON with one-letter names to keep segments small. An entry
 * of kind {@code COMPLETED} repeats the digest of its claim, so that retries of the
 * request can be checked after the segment of the claim has been removed.
 *
 * @param key hash of the claimed key
 * @param kind kind of the entry
 * @param digest shortened digest of the request
 * @param hostId host that executes the attempt
 * @param attemptId identifier of the attempt
 * @param atMs time on the clock of the writer, in milliseconds since the epoch
 * @param timeoutMs time from the claim after which the attempt has ended, if its host is
 * alive
 * @param status status of the response
 * @param contentType content type of the response
 * @param body body of the response in Base64
 * @param bodyComplete whether {@code body} is the complete body of the response
 */
record ClaimEntry(@SerializedName("k") String key, @SerializedName("e") EntryKind kind,
		@SerializedName("d") String digest, @SerializedName("h") String hostId, @SerializedName("a") String attemptId,
		@SerializedName("t") long atMs, @SerializedName("x") Long timeoutMs, @SerializedName("s") Integer status,
		@SerializedName("ct") String contentType, @SerializedName("b") String body,
		@SerializedName("w") Boolean bodyComplete) {

	/** Maximum size of a recorded body. A larger body is left out. */
	static final int MAX_BODY_BYTES = 2_048;

	static final ClaimEntry SEAL = new ClaimEntry(null, EntryKind.SEALED, null, null, null, 0, null, null, null, null,
			null);

	private static final Gson GSON = new Gson();

	static ClaimEntry claimed(ClaimKey key, String digest, ClaimRequest request, long nowMs) {
		return new ClaimEntry(key.id(), EntryKind.CLAIMED, digest, request.getHostId(), request.getAttemptId(), nowMs,
				request.getTimeoutMs(), null, null, null, null);
	}

	static ClaimEntry released(ClaimKey key, String digest, String attemptId, long nowMs) {
		return new ClaimEntry(key.id(), EntryKind.RELEASED, digest, null, attemptId, nowMs, null, null, null, null,
				null);
	}

	static ClaimEntry completed(ClaimEntry claim, ClaimOutcome outcome, long nowMs) {
		byte[] body = (outcome.isSetBody()) ? outcome.getBody() : new byte[0];
		boolean fits = body.length <= MAX_BODY_BYTES;
		String text = (fits) ? Base64.getEncoder().withoutPadding().encodeToString(body) : "";
		return new ClaimEntry(claim.key(), EntryKind.COMPLETED, claim.digest(), claim.hostId(), claim.attemptId(),
				nowMs, null, outcome.getStatus(), outcome.getContentType(), text, fits && outcome.isBodyComplete());
	}

	static ClaimEntry parse(String line) {
		return GSON.fromJson(line, ClaimEntry.class);
	}

	String line() {
		return GSON.toJson(this) + "\n";
	}

	/**
	 * Returns the recorded response.
	 * @param request the claim of a retry, which receives the response
	 * @return the outcome, with the organisation, route and idempotency key of the
	 * request
	 */
	ClaimOutcome outcome(ClaimRequest request) {
		ClaimOutcome outcome = new ClaimOutcome();
		outcome.setOrganisation(request.getOrganisation());
		outcome.setRoute(request.getRoute());
		outcome.setIdempotencyKey(request.getIdempotencyKey());
		outcome.setAttemptId(this.attemptId);
		outcome.setReleased(false);
		outcome.setStatus((this.status != null) ? this.status : 0);
		outcome.setContentType(this.contentType);
		outcome.setBody(Base64.getDecoder().decode((this.body != null) ? this.body : ""));
		outcome.setBodyComplete(Boolean.TRUE.equals(this.bodyComplete));
		return outcome;
	}

}
