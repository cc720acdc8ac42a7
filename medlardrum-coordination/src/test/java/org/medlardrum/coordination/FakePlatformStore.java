package org.medlardrum.coordination;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.medlardrum.state.HostDirectory;

/**
 * In-memory store with fault injection: outage, lost responses, dropped writes, stale
 * reads, lost keys and a restore from an older copy. A call that waits for a change
 * returns after at most 20 ms, so that tests do not block on it.
 */
public final class FakePlatformStore implements PlatformStore {

	private static final long MAX_WAIT_MS = 20;

	private final InstantSource clock;

	private final NavigableMap<String, Value> values = new TreeMap<>();

	private final Map<String, Lease> leases = new HashMap<>();

	private final Map<String, Integer> calls = new HashMap<>();

	private NavigableMap<String, Value> staleValues;

	private HostDirectory directory = HostDirectory.EMPTY;

	private long revision;

	private long leaseNumber;

	private long era = 1;

	private Copy copy;

	private boolean outage;

	private int responsesToLose;

	private int writesToDrop;

	private Consumer<String> beforeWrite = (key) -> {
	};

	public FakePlatformStore(InstantSource clock) {
		this.clock = clock;
	}

	/**
	 * Starts or ends an outage, during which every call returns {@code Unavailable}.
	 * @param outage whether the store is unavailable
	 */
	public synchronized void setOutage(boolean outage) {
		this.outage = outage;
	}

	/**
	 * Makes the next writes take effect and return {@code Unknown}, as if their responses
	 * were lost.
	 * @param count number of writes
	 */
	public synchronized void loseResponses(int count) {
		this.responsesToLose = count;
	}

	/**
	 * Makes the next writes return {@code Unknown} without taking effect.
	 * @param count number of writes
	 */
	public synchronized void dropWrites(int count) {
		this.writesToDrop = count;
	}

	/**
	 * Makes reads return the present state until {@link #endStaleReads()}, while writes
	 * continue to take effect.
	 */
	public synchronized void beginStaleReads() {
		this.staleValues = new TreeMap<>(this.values);
	}

	/**
	 * Makes reads return the current state again.
	 */
	public synchronized void endStaleReads() {
		this.staleValues = null;
	}

	/**
	 * Runs an action before each write, without holding the store's lock.
	 * @param action the action, called with the key
	 */
	public synchronized void beforeWrite(Consumer<String> action) {
		this.beforeWrite = action;
	}

	/**
	 * Removes a key as if the store had lost it.
	 * @param key the key
	 */
	public synchronized void lose(String key) {
		this.values.remove(key);
	}

	/**
	 * Takes a copy to which {@link #restoreCopy()} returns.
	 */
	public synchronized void takeCopy() {
		expireLeases();
		this.copy = new Copy(new TreeMap<>(this.values), new HashMap<>(this.leases), this.revision, this.leaseNumber);
	}

	/**
	 * Returns to the copy and begins a new era. All that was written since is lost, and
	 * its revisions and lease identifiers are assigned again.
	 */
	public synchronized void restoreCopy() {
		this.values.clear();
		this.values.putAll(this.copy.values());
		this.leases.clear();
		this.leases.putAll(this.copy.leases());
		this.revision = this.copy.revision();
		this.leaseNumber = this.copy.leaseNumber();
		this.era++;
		notifyAll();
	}

	/**
	 * Sets a key regardless of its revision.
	 * @param key the key
	 * @param value the value
	 */
	public synchronized void put(String key, String value) {
		this.values.put(key, new Value(value, ++this.revision, null));
		notifyAll();
	}

	/**
	 * Sets the host list.
	 * @param directory the list
	 */
	public synchronized void setHosts(HostDirectory directory) {
		this.directory = directory;
		notifyAll();
	}

	/**
	 * Returns how often a method was called.
	 * @param method name of the method
	 * @return number of calls
	 */
	public synchronized int calls(String method) {
		return this.calls.getOrDefault(method, 0);
	}

	@Override
	public synchronized StoreResult<StoreEntry> get(String key) {
		return read("get", () -> entryOf(key));
	}

	@Override
	public StoreResult<StoreEntry> compareAndSet(String key, StoreVersion expected, String value, String leaseId) {
		Consumer<String> action;
		synchronized (this) {
			action = this.beforeWrite;
		}
		action.accept(key);
		return write(key, expected, value, leaseId);
	}

	private synchronized StoreResult<StoreEntry> write(String key, StoreVersion expected, String value,
			String leaseId) {
		count("compareAndSet");
		if (this.outage) {
			return new StoreResult.Unavailable<>("outage");
		}
		if (this.writesToDrop > 0) {
			this.writesToDrop--;
			return new StoreResult.Unknown<>("response lost");
		}
		expireLeases();
		Value current = this.values.get(key);
		StoreVersion currentVersion = (current != null) ? version(current.revision()) : StoreVersion.ABSENT;
		StoreResult<StoreEntry> result;
		if (!currentVersion.equals(expected)) {
			result = new StoreResult.Conflict<>(
					(current != null) ? new StoreEntry(key, current.text(), version(current.revision())) : null);
		}
		else if (leaseId != null && !this.leases.containsKey(leaseId)) {
			result = new StoreResult.NotFound<>();
		}
		else {
			this.values.put(key, new Value(value, ++this.revision, leaseId));
			notifyAll();
			result = new StoreResult.Ok<>(new StoreEntry(key, value, version(this.revision)));
		}
		if (this.responsesToLose > 0) {
			this.responsesToLose--;
			return new StoreResult.Unknown<>("response lost");
		}
		return result;
	}

	@Override
	public synchronized StoreResult<StoreEntry> watch(String key, StoreVersion after, long waitMs) {
		return read("watch", () -> {
			StoreResult<StoreEntry> found = newerEntry(key, after);
			if (found instanceof StoreResult.Ok<StoreEntry> || !awaitChange(waitMs)) {
				return found;
			}
			return newerEntry(key, after);
		});
	}

	@Override
	public synchronized StoreResult<List<StoreEntry>> list(String prefix) {
		return read("list", () -> {
			List<StoreEntry> found = new ArrayList<>();
			readableValues().tailMap(prefix, true).forEach((key, value) -> {
				if (key.startsWith(prefix)) {
					found.add(new StoreEntry(key, value.text(), version(value.revision())));
				}
			});
			return new StoreResult.Ok<>(List.copyOf(found));
		});
	}

	@Override
	public synchronized StoreResult<StoreLease> createLease(long ttlMs) {
		return read("createLease", () -> {
			String id = "lease-" + ++this.leaseNumber;
			this.leases.put(id, new Lease(ttlMs, this.clock.millis() + ttlMs));
			return new StoreResult.Ok<>(new StoreLease(id, ttlMs, this.era));
		});
	}

	@Override
	public synchronized StoreResult<StoreLease> renewLease(String leaseId) {
		return read("renewLease", () -> {
			Lease lease = this.leases.get(leaseId);
			if (lease == null) {
				return new StoreResult.NotFound<>();
			}
			this.leases.put(leaseId, new Lease(lease.ttlMs(), this.clock.millis() + lease.ttlMs()));
			return new StoreResult.Ok<>(new StoreLease(leaseId, lease.ttlMs(), this.era));
		});
	}

	@Override
	public synchronized StoreResult<HostDirectory> hosts(long afterRevision, long waitMs) {
		return read("hosts", () -> {
			if (this.directory.revision() <= afterRevision) {
				awaitChange(waitMs);
			}
			return (this.directory.revision() > afterRevision) ? new StoreResult.Ok<>(this.directory)
					: new StoreResult.NotFound<>();
		});
	}

	private <T> StoreResult<T> read(String method, Supplier<StoreResult<T>> call) {
		count(method);
		if (this.outage) {
			return new StoreResult.Unavailable<>("outage");
		}
		expireLeases();
		return call.get();
	}

	private NavigableMap<String, Value> readableValues() {
		return (this.staleValues != null) ? this.staleValues : this.values;
	}

	private StoreResult<StoreEntry> entryOf(String key) {
		Value value = readableValues().get(key);
		return (value != null) ? new StoreResult.Ok<>(new StoreEntry(key, value.text(), version(value.revision())))
				: new StoreResult.NotFound<>();
	}

	private StoreResult<StoreEntry> newerEntry(String key, StoreVersion after) {
		StoreResult<StoreEntry> found = entryOf(key);
		return (found instanceof StoreResult.Ok<StoreEntry> ok && ok.value().version().isAfter(after)) ? found
				: new StoreResult.NotFound<>();
	}

	private boolean awaitChange(long waitMs) {
		if (waitMs <= 0) {
			return false;
		}
		try {
			wait(Math.min(waitMs, MAX_WAIT_MS));
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	private void expireLeases() {
		long nowMs = this.clock.millis();
		this.leases.values().removeIf((lease) -> lease.expiresAtMs() <= nowMs);
		this.values.values().removeIf((value) -> value.leaseId() != null && !this.leases.containsKey(value.leaseId()));
	}

	private StoreVersion version(long valueRevision) {
		return new StoreVersion(this.era, valueRevision);
	}

	private void count(String method) {
		this.calls.merge(method, 1, Integer::sum);
	}

	private record Value(String text, long revision, String leaseId) {
	}

	private record Lease(long ttlMs, long expiresAtMs) {
	}

	private record Copy(Map<String, Value> values, Map<String, Lease> leases, long revision, long leaseNumber) {
	}

}
