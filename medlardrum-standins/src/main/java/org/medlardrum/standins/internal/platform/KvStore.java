package org.medlardrum.standins.internal.platform;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;

/**
 * Key-value store with conditional writes, leases and blocking watches. All keys share
 * one revision counter, so the revision of a key also increases when the key is removed
 * and created again. A restore from an older copy begins a new era, in which the
 * revisions and lease identifiers of the lost part of the history are assigned again.
 * Thread-safe.
 */
public final class KvStore {

	/** Number of versions of each key that are kept for stale reads. */
	private static final int MAX_VERSIONS_PER_KEY = 32;

	/**
	 * Interval at which a blocked watch checks the clock and whether an outage started.
	 * Neither signals the watch, so this bounds the delay until it notices.
	 */
	private static final long WATCH_POLL_INTERVAL_MS = 100;

	/** Shortest time between two copies for restores. */
	private static final long COPY_INTERVAL_MS = 1_000;

	private static final int MAX_COPIES = 60;

	private final InstantSource clock;

	private final ReentrantLock lock = new ReentrantLock();

	private final TreeMap<String, Deque<KvVersion>> versionsByKey = new TreeMap<>();

	private final Map<String, Condition> watchConditions = new HashMap<>();

	private final Map<String, Lease> leases = new HashMap<>();

	private final Map<String, Long> leaseExpiresAtMs = new HashMap<>();

	private final Deque<KvCopy> copies = new ArrayDeque<>();

	private long era = 1;

	private long lastRevision;

	private long lastLeaseNumber;

	/**
	 * Creates an empty store.
	 * @param clock clock for the expiry of leases and for stale reads
	 */
	public KvStore(InstantSource clock) {
		this.clock = clock;
	}

	/**
	 * Returns to an older copy, as after the loss of the store, and begins a new era.
	 * Leases of the copy get their whole time to live again.
	 * @param ageMs least age of the copy, in milliseconds; the store is empty if it has
	 * no such copy
	 * @return the new era
	 */
	public long restore(long ageMs) {
		this.lock.lock();
		try {
			long nowMs = this.clock.millis();
			KvCopy copy = new KvCopy(nowMs, Map.of(), Map.of(), 0, 0);
			for (KvCopy candidate : this.copies) {
				copy = (nowMs - candidate.takenAtMs() >= ageMs) ? candidate : copy;
			}
			this.copies.clear();
			this.era++;
			this.versionsByKey.clear();
			copy.versions().forEach((key, version) -> appendVersion(key, inEra(version)));
			this.leases.clear();
			this.leases.putAll(copy.leases());
			this.leaseExpiresAtMs.clear();
			copy.leases().forEach((id, lease) -> this.leaseExpiresAtMs.put(id, nowMs + lease.ttlMs()));
			this.lastRevision = copy.lastRevision();
			this.lastLeaseNumber = copy.lastLeaseNumber();
			this.watchConditions.values().forEach(Condition::signalAll);
			this.watchConditions.clear();
			return this.era;
		}
		finally {
			this.lock.unlock();
		}
	}

	private KvVersion inEra(KvVersion version) {
		KvEntry entry = version.entry();
		return (entry != null) ? new KvVersion(new KvEntry(entry.key(), entry.value(), entry.revision(), this.era),
				version.leaseId(), version.writtenAtMs()) : version;
	}

	private void takeCopyIfDue() {
		long nowMs = this.clock.millis();
		if (!this.copies.isEmpty() && nowMs - this.copies.getLast().takenAtMs() < COPY_INTERVAL_MS) {
			return;
		}
		Map<String, KvVersion> versions = new HashMap<>();
		this.versionsByKey.forEach((key, all) -> versions.put(key, all.getLast()));
		this.copies
			.addLast(new KvCopy(nowMs, versions, Map.copyOf(this.leases), this.lastRevision, this.lastLeaseNumber));
		if (this.copies.size() > MAX_COPIES) {
			this.copies.removeFirst();
		}
	}

	/**
	 * Returns the era.
	 * @return number of the store's history, from 1
	 */
	public long era() {
		this.lock.lock();
		try {
			return this.era;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Reads a key.
	 * @param key the key
	 * @param staleByMs age of the state to read, in milliseconds, 0 for the current state
	 * @return the entry, {@code null} if the key did not exist
	 */
	public KvEntry get(String key, long staleByMs) {
		this.lock.lock();
		try {
			expireLeases();
			return entryAsOf(this.versionsByKey.get(key), staleByMs);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Reads the entries whose key starts with a prefix, in key order.
	 * @param prefix the prefix
	 * @param staleByMs age of the state to read, in milliseconds, 0 for the current state
	 * @return the entries
	 */
	public List<KvEntry> list(String prefix, long staleByMs) {
		this.lock.lock();
		try {
			expireLeases();
			List<KvEntry> entries = new ArrayList<>();
			for (Map.Entry<String, Deque<KvVersion>> key : this.versionsByKey.tailMap(prefix).entrySet()) {
				if (!key.getKey().startsWith(prefix)) {
					break;
				}
				KvEntry entry = entryAsOf(key.getValue(), staleByMs);
				if (entry != null) {
					entries.add(entry);
				}
			}
			return entries;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Writes a key if it has the expected revision.
	 * @param key the key
	 * @param expectedRevision expected revision, 0 if the key must not exist
	 * @param expectedEra era of the expected revision, ignored if the key must not exist
	 * @param value the value
	 * @param leaseId lease whose expiry removes the key, {@code null} for none
	 * @return the result
	 */
	public CasResult compareAndSet(String key, long expectedRevision, long expectedEra, String value, String leaseId) {
		this.lock.lock();
		try {
			takeCopyIfDue();
			expireLeases();
			KvEntry current = entryAsOf(this.versionsByKey.get(key), 0);
			boolean otherEra = expectedRevision != 0 && expectedEra != this.era;
			if (otherEra || ((current != null) ? current.revision() : 0) != expectedRevision) {
				return new CasResult.Conflict(current);
			}
			if (leaseId != null && !this.leases.containsKey(leaseId)) {
				return new CasResult.LeaseNotFound();
			}
			KvEntry entry = new KvEntry(key, value, ++this.lastRevision, this.era);
			appendVersion(key, new KvVersion(entry, leaseId, this.clock.millis()));
			return new CasResult.Written(entry);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Blocks until a key has a revision above the given one.
	 * @param key the key
	 * @param knownRevision last revision that the reader has
	 * @param knownEra era of that revision; an entry of another era is returned at once
	 * @param waitMs timeout, in milliseconds
	 * @param cancelled whether to stop waiting before the timeout
	 * @return the entry, {@code null} if the key did not change in time
	 * @throws InterruptedException if the thread is interrupted
	 */
	public KvEntry watch(String key, long knownRevision, long knownEra, long waitMs, BooleanSupplier cancelled)
			throws InterruptedException {
		long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
		this.lock.lock();
		try {
			while (true) {
				expireLeases();
				KvEntry entry = entryAsOf(this.versionsByKey.get(key), 0);
				if (entry != null
						&& (entry.revision() > knownRevision || (knownRevision != 0 && knownEra != this.era))) {
					return entry;
				}
				long remainingNs = deadlineNs - System.nanoTime();
				if (remainingNs <= 0 || cancelled.getAsBoolean()) {
					return null;
				}
				Condition changed = this.watchConditions.computeIfAbsent(key, (watchedKey) -> this.lock.newCondition());
				changed.awaitNanos(Math.min(remainingNs, TimeUnit.MILLISECONDS.toNanos(WATCH_POLL_INTERVAL_MS)));
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Grants a lease.
	 * @param ttlMs time to live, in milliseconds
	 * @return the lease
	 */
	public Lease createLease(long ttlMs) {
		if (ttlMs <= 0) {
			throw new IllegalArgumentException("ttlMs must be greater than 0, not " + ttlMs);
		}
		this.lock.lock();
		try {
			takeCopyIfDue();
			Lease lease = new Lease("lease-" + (++this.lastLeaseNumber), ttlMs, this.era);
			this.leases.put(lease.id(), lease);
			this.leaseExpiresAtMs.put(lease.id(), this.clock.millis() + ttlMs);
			return lease;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Restarts the time to live of a lease.
	 * @param id identifier of the lease
	 * @return the lease, {@code null} if it does not exist or has expired
	 */
	public Lease renewLease(String id) {
		this.lock.lock();
		try {
			expireLeases();
			Lease lease = this.leases.get(id);
			if (lease != null) {
				this.leaseExpiresAtMs.put(id, this.clock.millis() + lease.ttlMs());
				return new Lease(id, lease.ttlMs(), this.era);
			}
			return null;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Expires a lease early and removes its keys.
	 * @param id identifier of the lease, {@code *} for all leases
	 */
	public void expireLease(String id) {
		this.lock.lock();
		try {
			this.leaseExpiresAtMs.replaceAll((lease, endMs) -> ("*".equals(id) || lease.equals(id)) ? 0L : endMs);
			expireLeases();
		}
		finally {
			this.lock.unlock();
		}
	}

	private void expireLeases() {
		long nowMs = this.clock.millis();
		Iterator<Map.Entry<String, Long>> expiries = this.leaseExpiresAtMs.entrySet().iterator();
		while (expiries.hasNext()) {
			Map.Entry<String, Long> expiry = expiries.next();
			if (expiry.getValue() <= nowMs) {
				expiries.remove();
				this.leases.remove(expiry.getKey());
				removeKeysOfLease(expiry.getKey(), nowMs);
			}
		}
	}

	private void removeKeysOfLease(String leaseId, long nowMs) {
		this.versionsByKey.forEach((key, versions) -> {
			KvVersion last = versions.getLast();
			if (last.entry() != null && leaseId.equals(last.leaseId())) {
				this.lastRevision++;
				appendVersion(key, new KvVersion(null, null, nowMs));
			}
		});
	}

	private void appendVersion(String key, KvVersion version) {
		Deque<KvVersion> versions = this.versionsByKey.get(key);
		if (versions == null) {
			versions = new ArrayDeque<>();
			this.versionsByKey.put(key, versions);
		}
		versions.addLast(version);
		if (versions.size() > MAX_VERSIONS_PER_KEY) {
			versions.removeFirst();
		}
		Condition changed = this.watchConditions.remove(key);
		if (changed != null) {
			changed.signalAll();
		}
	}

	private KvEntry entryAsOf(Deque<KvVersion> versions, long staleByMs) {
		if (versions == null) {
			return null;
		}
		if (staleByMs <= 0) {
			return versions.getLast().entry();
		}
		long asOfMs = this.clock.millis() - staleByMs;
		KvEntry entry = null;
		for (KvVersion version : versions) {
			if (version.writtenAtMs() <= asOfMs) {
				entry = version.entry();
			}
		}
		return entry;
	}

}
