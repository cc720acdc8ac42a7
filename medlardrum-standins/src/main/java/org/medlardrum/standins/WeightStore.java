package org.medlardrum.standins;

import java.util.concurrent.TimeUnit;

/**
 * Simulated source of model weights with a limited transfer rate that the engines of one
 * process share. Transfers run one after another. Thread-safe.
 */
public final class WeightStore {

	private final double bytesPerS;

	private long nextFreeNs = System.nanoTime();

	/**
	 * Creates a weight store.
	 * @param bytesPerS transfer rate, in bytes per second, 0 for no limit
	 */
	public WeightStore(double bytesPerS) {
		this.bytesPerS = bytesPerS;
	}

	/**
	 * Blocks until a transfer of the given size is complete.
	 * @param bytes size of the transfer, in bytes
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void transfer(long bytes) throws InterruptedException {
		if (this.bytesPerS <= 0) {
			return;
		}
		long endNs;
		synchronized (this) {
			this.nextFreeNs = Math.max(this.nextFreeNs, System.nanoTime()) + (long) (bytes * 1e9 / this.bytesPerS);
			endNs = this.nextFreeNs;
		}
		TimeUnit.NANOSECONDS.sleep(endNs - System.nanoTime());
	}

}
