package org.medlardrum.decisions.memory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;

/**
 * Budget of the bytes that a host holds for responses. A body counts with what it has
 * beyond {@link #FREE_BYTES}, so that small ones never wait for large ones. Each owner
 * has a share, so that what one server sends without end leaves room for the others.
 *
 * <p>
 * The oldest body of an owner may always grow. So the bodies that wait become complete
 * one after the other, and the budget is exceeded by one body at most.
 *
 * <pre>
 * HeldBytes body = budget.open(List.of(new BytesOwner(Kind.SERVER, "10.1.0.7:8080")));
 * body.set(received);
 * if (!body.mayGrow()) {
 *     body.whenMayGrow(call::requestMore);
 * }
 * body.close();
 * </pre>
 */
public final class ByteBudget {

	/** Bytes of each body that do not count. */
	public static final long FREE_BYTES = 16 * 1024;

	/** Bytes that a body which may grow again is expected to receive at once. */
	private static final long PART_BYTES = 64 * 1024;

	private final Executor executor;

	private final long limitBytes;

	private final Share total;

	private final Map<BytesOwner, Share> shares = new HashMap<>();

	private final Set<HeldBytes> waiting = new LinkedHashSet<>();

	private long peakBytes;

	/**
	 * Creates a budget.
	 * @param limitBytes limit of the bytes that count
	 * @param executor runs the actions of bodies that may grow again
	 */
	public ByteBudget(long limitBytes, Executor executor) {
		if (limitBytes <= 0) {
			throw new IllegalArgumentException("Limit is " + limitBytes + " bytes; it must be positive");
		}
		this.limitBytes = limitBytes;
		this.total = new Share(limitBytes);
		this.executor = executor;
	}

	/**
	 * Begins a body.
	 * @param owners those for whom it is held
	 * @return the body, empty and to be closed
	 */
	public synchronized HeldBytes open(List<BytesOwner> owners) {
		return new HeldBytes(this, List.copyOf(owners));
	}

	/**
	 * Returns the bytes that count now.
	 * @return the bytes
	 */
	public synchronized long usedBytes() {
		return this.total.usedBytes;
	}

	/**
	 * Returns the most bytes that have counted at the same time.
	 * @return the bytes
	 */
	public synchronized long peakBytes() {
		return this.peakBytes;
	}

	/**
	 * Returns how many bodies wait for room.
	 * @return the number of bodies
	 */
	public synchronized int waiting() {
		return this.waiting.size();
	}

	synchronized void set(HeldBytes body, long bytes) {
		this.waiting.remove(body);
		boolean less = charge(body, Math.max(0, bytes - FREE_BYTES));
		if (less) {
			resume();
		}
	}

	synchronized boolean mayGrow(HeldBytes body) {
		return body.chargedBytes() == 0 || sharesOf(body).stream().allMatch((share) -> share.admits(body, 0));
	}

	synchronized void await(HeldBytes body) {
		this.waiting.add(body);
		resume();
	}

	synchronized void close(HeldBytes body) {
		this.waiting.remove(body);
		charge(body, 0);
		resume();
	}

	// Returns whether the body holds less than before.
	private boolean charge(HeldBytes body, long chargedBytes) {
		long addedBytes = chargedBytes - body.chargedBytes();
		if (addedBytes == 0) {
			return false;
		}
		body.setChargedBytes(chargedBytes);
		for (Share share : sharesOf(body)) {
			share.usedBytes += addedBytes;
			if (chargedBytes > 0) {
				share.bodies.add(body);
			}
			else {
				share.bodies.remove(body);
			}
		}
		if (chargedBytes == 0) {
			body.owners()
				.forEach((owner) -> this.shares.computeIfPresent(owner,
						(key, share) -> (share.bodies.isEmpty()) ? null : share));
		}
		this.peakBytes = Math.max(this.peakBytes, this.total.usedBytes);
		return addedBytes < 0;
	}

	private List<Share> sharesOf(HeldBytes body) {
		List<Share> result = new ArrayList<>();
		result.add(this.total);
		for (BytesOwner owner : body.owners()) {
			result.add(this.shares.computeIfAbsent(owner,
					(key) -> new Share((long) (this.limitBytes * key.kind().share()))));
		}
		return result;
	}

	// Bodies that go on count with the part that they are about to receive.
	private void resume() {
		for (HeldBytes body : List.copyOf(this.waiting)) {
			if (sharesOf(body).stream().allMatch((share) -> share.admits(body, PART_BYTES))) {
				this.waiting.remove(body);
				charge(body, body.chargedBytes() + PART_BYTES);
				this.executor.execute(body.takeAction());
			}
		}
	}

	/**
	 * What an owner uses of the budget.
	 */
	private static final class Share {

		private final long limitBytes;

		/** Bodies that count, the oldest first. */
		private final Set<HeldBytes> bodies = new LinkedHashSet<>();

		private long usedBytes;

		Share(long limitBytes) {
			this.limitBytes = limitBytes;
		}

		boolean admits(HeldBytes body, long bytes) {
			return this.usedBytes + bytes <= this.limitBytes || this.bodies.isEmpty()
					|| this.bodies.iterator().next() == body;
		}

	}

}
