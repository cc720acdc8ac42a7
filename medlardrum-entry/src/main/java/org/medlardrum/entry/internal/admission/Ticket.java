package org.medlardrum.entry.internal.admission;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

import org.medlardrum.decisions.Work;

/**
 * Handle of a request in a pool's queue. Closing it removes the request from the queue,
 * or releases its slot if it has started.
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
	 * Waits until the request may start, is refused or expires.
	 * @return the result
	 * @throws InterruptedException if the thread is interrupted, which happens when the
	 * caller disconnects
	 */
	public AdmissionResult await() throws InterruptedException {
		try {
			return this.result.get();
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException("Admission to pool \"" + this.pool + "\" failed", ex);
		}
	}

	/**
	 * Sets the actual cost of the request, which {@link #close} reports to the queue.
	 * @param cost tokens × layers for models, 1 for a plain-service call
	 */
	public void recordCost(double cost) {
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
