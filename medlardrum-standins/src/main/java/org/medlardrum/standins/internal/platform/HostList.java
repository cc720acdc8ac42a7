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
 * Host list whose changes become visible to readers after a delay. Thread-safe.
 */
public final class HostList {

	/**
	 * Interval at which a blocked reader checks whether a change became visible, which
	 * bounds the delay until the reader notices it.
	 */
	private static final long POLL_INTERVAL_MS = 50;

	private final InstantSource clock;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	private final Deque<Change> pending = new ArrayDeque<>();

	private HostDirectory visible = HostDirectory.EMPTY;

	private HostDirectory latest = HostDirectory.EMPTY;

	/**
	 * Creates an empty list.
	 * @param clock clock that determines when changes become visible
	 */
	public HostList(InstantSource clock) {
		this.clock = clock;
	}

	/**
	 * Replaces the list.
	 * @param hosts the hosts; the given revision is ignored
	 * @param lagMs delay until readers see the change, in milliseconds
	 * @return the list with its assigned revision
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
	 * Returns the newest list, whether or not readers see it yet.
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
	 * Blocks until the revision that readers see is above the given one.
	 * @param knownRevision last revision that the reader has, 0 for none
	 * @param waitMs timeout, in milliseconds
	 * @param cancelled whether to stop waiting before the timeout
	 * @return the list, {@code null} if it did not change in time
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
