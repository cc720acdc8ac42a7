package org.medlardrum.standins.internal.engine;

/**
 * Failure of a stage, sent to the caller as an error frame.
 */
public final class StageFailure extends Exception {

	private static final long serialVersionUID = 1L;

	private final String server;

	private final String code;

	StageFailure(String server, String code, String detail) {
		super(detail);
		this.server = server;
		this.code = code;
	}

	String server() {
		return this.server;
	}

	String code() {
		return this.code;
	}

}
