package org.medlardrum.standins.internal.platform;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;

import org.medlardrum.state.HostDirectory;

/**
 * List of hosts whose changes become visible to readers after a lag. Thread-safe.
 */
public final class HostList {

	/** Bounds the time until a waiting reader notices that a change became visible. */
	private static final long POLL_INTERVAL_MS = 50;

	private final InstantSource clock;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	private final Deque<Change> pending = new ArrayDeque<>();

	private HostDirectory visible = HostDirectory.EMPTY;

	private HostDirectory latest = HostDirectory.EMPTY;

	/**
	 * Creates an empty list.
	 * @param clock clock of the lag
	 */
	public HostList(InstantSource clock) {
		this.clock = clock;
	}

	/**
	 * Replaces the list.
	 * @param hosts the hosts; their revision is ignored
	 * @param lagMs time until readers see the change, in milliseconds
	 * @return the list with its revision
	 */
	public HostDirectory set(HostDirectory hosts, long lagMs) {
		this.lock.lock();
		try {
			this.latest = new HostDirectory(this.latest.revision() + 1, hosts.entryHosts(), hosts.backendServers());
			this.pending.addLast(new Change(this.latest, this.clock.millis() + lagMs));
			this.changed.signalAll();
			return this.latest;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the list without lag.
	 * @return the newest list
	 */
	public HostDirectory latest() {
		this.lock.lock();
		try {
			return this.latest;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Reads the list, waiting until its visible revision is above the given one.
	 * @param knownRevision revision already known, 0 for none
	 * @param waitMs longest wait, in milliseconds
	 * @param cancelled whether the wait must end early
	 * @return the list, {@code null} if the wait ended without a change
	 * @throws InterruptedException if the thread is interrupted
	 */
	public HostDirectory read(long knownRevision, long waitMs, BooleanSupplier cancelled) throws InterruptedException {
		long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
		this.lock.lock();
		try {
			while (true) {
				publishDueChanges();
				if (this.visible.revision() > knownRevision) {
					return this.visible;
				}
				long remainingNs = deadlineNs - System.nanoTime();
				if (remainingNs <= 0 || cancelled.getAsBoolean()) {
					return null;
				}
				this.changed.awaitNanos(Math.min(remainingNs, TimeUnit.MILLISECONDS.toNanos(POLL_INTERVAL_MS)));
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	private void publishDueChanges() {
		while (!this.pending.isEmpty() && this.pending.getFirst().visibleAtMs() <= this.clock.millis()) {
			this.visible = this.pending.removeFirst().hosts();
		}
	}

	private record Change(HostDirectory hosts, long visibleAtMs) {
	}

}
