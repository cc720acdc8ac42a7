package org.medlardrum.gateway.internal.load;

import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

import org.medlardrum.decisions.pool.ServerLoad;

/**
 * Load reserved at backend servers until the reservation is closed. Closing it again has
 * no effect.
 */
public final class Reservation implements AutoCloseable {

	private final LoadTable table;

	private final Map<String, ServerLoad> shares;

	private final AtomicBoolean released = new AtomicBoolean();

	Reservation(LoadTable table, Map<String, ServerLoad> shares) {
		this.table = table;
		this.shares = shares;
	}

	@Override
	public void close() {
		if (this.released.compareAndSet(false, true)) {
			this.table.release(this.shares);
		}
	}

}
