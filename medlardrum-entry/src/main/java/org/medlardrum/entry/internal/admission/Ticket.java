package org.medlardrum.entry.internal.admission;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

import org.medlardrum.decisions.Work;

/**
 * A request's place in a queue. Closing it frees the place, queued or running.
 */
public final class Ticket implements AutoCloseable {

	private final AdmissionController admission;

	private final String pool;

	private final Work work;

	private final CompletableFuture<AdmissionResult> result = new CompletableFuture<>();

	private double actualCost;

	Ticket(AdmissionController admission, String pool, Work work) {
		this.admission = admission;
		this.pool = pool;
		this.work = work;
	}

	/**
	 * Waits until the request may start or is refused.
	 * @return the result
	 * @throws InterruptedException if the caller has gone
	 */
	public AdmissionResult await() throws InterruptedException {
		try {
			return this.result.get();
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException("Admission failed", ex);
		}
	}

	/**
	 * Sets the cost that the request really used.
	 * @param cost tokens × layers for models, 1 for a plain call
	 */
	public void used(double cost) {
		this.actualCost = cost;
	}

	@Override
	public void close() {
		this.admission.release(this, this.actualCost);
	}

	String pool() {
		return this.pool;
	}

	Work work() {
		return this.work;
	}

	void complete(AdmissionResult value) {
		this.result.complete(value);
	}

}
