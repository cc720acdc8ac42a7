package org.medlardrum.standins.internal.model;

import org.medlardrum.state.routing.ModelPool;

/**
 * Model of the link that all availability zones share. Transfers between zones use it one
 * after the other.
 */
final class ZoneLinkModel {

	private final SimulationQueue queue;

	private final ModelPool pool;

	private double freeAtMs;

	ZoneLinkModel(SimulationQueue queue, ModelPool pool) {
		this.queue = queue;
		this.pool = pool;
	}

	/**
	 * Sends the activations of tokens from one engine to the next.
	 * @param tokens number of tokens
	 * @param fromZone availability zone of the sender
	 * @param toZone availability zone of the receiver
	 * @param arrived action to run when they have arrived
	 */
	void send(int tokens, String fromZone, String toZone, Runnable arrived) {
		double transferMs = this.pool.transferMs(tokens, fromZone, toZone);
		double startMs = this.queue.nowMs();
		if (transferMs > 0) {
			startMs = Math.max(startMs, this.freeAtMs);
			this.freeAtMs = startMs + transferMs;
		}
		this.queue.schedule(startMs + transferMs - this.queue.nowMs() + this.pool.delayMs(fromZone, toZone), arrived);
	}

}
