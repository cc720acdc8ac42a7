package org.medlardrum.standins.internal.engine;

/**
 * An attempt of a request that runs on the thread that created it and that other threads
 * can cancel.
 */
final class ActiveRequest {

	private final String request;

	private final int attempt;

	private final Thread thread = Thread.currentThread();

	private boolean finished;

	ActiveRequest(String request, int attempt) {
		this.request = request;
		this.attempt = attempt;
	}

	boolean matches(String otherRequest, int otherAttempt) {
		return this.request.equals(otherRequest) && (otherAttempt == 0 || this.attempt == otherAttempt);
	}

	synchronized void cancel() {
		if (!this.finished) {
			this.thread.interrupt();
		}
	}

	synchronized void finish() {
		this.finished = true;
	}

}
