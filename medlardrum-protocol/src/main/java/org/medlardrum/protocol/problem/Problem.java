package org.medlardrum.protocol.problem;

import com.google.gson.JsonObject;
import org.medlardrum.state.Rank;

/**
 * A problem document (RFC 9457). Contains no content of the caller's request.
 *
 * @param type type
 * @param detail explanation for this occurrence
 * @param rank rank of the request, {@code null} before it is known
 * @param ran {@code no} or {@code unknown}
 * @param retryAfterMs time after which a retry can help, 0 for none
 */
public record Problem(ProblemType type, String detail, Rank rank, String ran, long retryAfterMs) {

	/** Media type of the document. */
	public static final String CONTENT_TYPE = "application/problem+json";

	private static final long MS_PER_S = 1000;

	/**
	 * Creates a problem of a request that did not run.
	 * @param type type
	 * @param detail explanation
	 * @param rank rank, may be {@code null}
	 * @param retryAfterMs time after which a retry can help, 0 for none
	 * @return the problem
	 */
	public static Problem notRun(ProblemType type, String detail, Rank rank, long retryAfterMs) {
		return new Problem(type, detail, rank, "no", retryAfterMs);
	}

	/**
	 * Creates a problem of a request that may have run.
	 * @param type type
	 * @param detail explanation
	 * @param rank rank, may be {@code null}
	 * @return the problem
	 */
	public static Problem mayHaveRun(ProblemType type, String detail, Rank rank) {
		return new Problem(type, detail, rank, "unknown", 0);
	}

	/**
	 * Returns the value of the {@code Retry-After} header.
	 * @return whole seconds, rounded up, 0 for none
	 */
	public long retryAfterS() {
		return (this.retryAfterMs + MS_PER_S - 1) / MS_PER_S;
	}

	/**
	 * Encodes the document.
	 * @return the JSON object
	 */
	public JsonObject toJson() {
		JsonObject json = new JsonObject();
		json.addProperty("type", this.type.uri());
		json.addProperty("title", this.type.title());
		json.addProperty("status", this.type.status());
		json.addProperty("detail", this.detail);
		if (this.rank != null) {
			json.addProperty("rank", this.rank.wireName());
		}
		json.addProperty("ran", this.ran);
		if (this.retryAfterMs > 0) {
			json.addProperty("retry-after", retryAfterS());
		}
		return json;
	}

}
