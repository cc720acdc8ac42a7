package org.medlardrum.decisions.crash;

/**
 * Something that may crash each server that begins to answer a request with it.
 *
 * @param kind the kind
 * @param id identifier of the part, or fingerprint of the request
 */
public record Subject(Kind kind, String id) {

	/**
	 * Kind of a subject.
	 */
	public enum Kind {

		/** A part of a prompt, which requests share. */
		PROMPT_PART,

		/** A request that callers may send again. */
		REQUEST

	}

	/**
	 * Creates the subject of a part of a prompt.
	 * @param id identifier of the part
	 * @return the subject
	 */
	public static Subject promptPart(String id) {
		return new Subject(Kind.PROMPT_PART, id);
	}

	/**
	 * Creates the subject of a whole request.
	 * @param fingerprint fingerprint of the request
	 * @return the subject
	 */
	public static Subject request(String fingerprint) {
		return new Subject(Kind.REQUEST, fingerprint);
	}

	/**
	 * Returns whether the subject is a part of a prompt.
	 * @return {@code true} for a part, {@code false} for a request
	 */
	public boolean isPromptPart() {
		return this.kind == Kind.PROMPT_PART;
	}

}
