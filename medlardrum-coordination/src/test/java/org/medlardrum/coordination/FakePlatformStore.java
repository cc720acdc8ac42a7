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
 * In-memory store with fault switches: outage, lost answers and stale reads. A watch
 * waits for at most 20 ms so that tests never hang on it.
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

	private boolean outage;

	private int lostAnswers;

	private int refusedWrites;

	private Consumer<String> beforeWrite = (key) -> {
	};

	public FakePlatformStore(InstantSource clock) {
		this.clock = clock;
	}

	/**
	 * Makes every call fail with {@code Unavailable}, or ends that.
	 * @param outage whether the store is down
	 */
	public synchronized void setOutage(boolean outage) {
		this.outage = outage;
	}

	/**
	 * Lets the next writes take effect but loses their answers.
	 * @param count number of writes
	 */
	public synchronized void loseResponses(int count) {
		this.lostAnswers = count;
	}

	/**
	 * Makes the next writes answer {@code Unknown} without taking effect.
	 * @param count number of writes
	 */
	public synchronized void dropWrites(int count) {
		this.refusedWrites = count;
	}

	/**
	 * Makes reads answer from the present state until {@link #endStaleReads()}, while
	 * writes go on.
	 */
	public synchronized void beginStaleReads() {
		this.staleValues = new TreeMap<>(this.values);
	}

	/**
	 * Makes reads answer from the current state again.
	 */
	public synchronized void endStaleReads() {
		this.staleValues = null;
	}

	/**
	 * Runs an action, outside the store's lock, before each write.
	 * @param action receives the key
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
	public StoreResult<StoreEntry> compareAndSet(String key, long expectedRevision, String value, String leaseId) {
		Consumer<String> action;
		synchronized (this) {
			action = this.beforeWrite;
		}
		action.accept(key);
		return write(key, expectedRevision, value, leaseId);
	}

	private synchronized StoreResult<StoreEntry> write(String key, long expectedRevision, String value,
			String leaseId) {
		count("compareAndSet");
		if (this.outage) {
			return new StoreResult.Unavailable<>("outage");
		}
		if (this.refusedWrites > 0) {
			this.refusedWrites--;
			return new StoreResult.Unknown<>("response lost");
		}
		expireLeases();
		Value current = this.values.get(key);
		long currentRevision = (current != null) ? current.revision() : ABSENT;
		StoreResult<StoreEntry> result;
		if (currentRevision != expectedRevision) {
			result = new StoreResult.Conflict<>(
					(current != null) ? new StoreEntry(key, current.text(), current.revision()) : null);
		}
		else if (leaseId != null && !this.leases.containsKey(leaseId)) {
			result = new StoreResult.NotFound<>();
		}
		else {
			this.values.put(key, new Value(value, ++this.revision, leaseId));
			notifyAll();
			result = new StoreResult.Ok<>(new StoreEntry(key, value, this.revision));
		}
		if (this.lostAnswers > 0) {
			this.lostAnswers--;
			return new StoreResult.Unknown<>("response lost");
		}
		return result;
	}

	@Override
	public synchronized StoreResult<StoreEntry> watch(String key, long afterRevision, long waitMs) {
		return read("watch", () -> {
			StoreResult<StoreEntry> found = newerEntry(key, afterRevision);
			if (found instanceof StoreResult.Ok<StoreEntry> || !pause(waitMs)) {
				return found;
			}
			return newerEntry(key, afterRevision);
		});
	}

	@Override
	public synchronized StoreResult<List<StoreEntry>> list(String prefix) {
		return read("list", () -> {
			List<StoreEntry> found = new ArrayList<>();
			visible().tailMap(prefix, true).forEach((key, value) -> {
				if (key.startsWith(prefix)) {
					found.add(new StoreEntry(key, value.text(), value.revision()));
				}
			});
			return new StoreResult.Ok<>(List.copyOf(found));
		});
	}

	@Override
	public synchronized StoreResult<StoreLease> createLease(long ttlMs) {
		return read("createLease", () -> {
			String id = "lease-" + ++this.revision;
			this.leases.put(id, new Lease(ttlMs, this.clock.millis() + ttlMs));
			return new StoreResult.Ok<>(new StoreLease(id, ttlMs));
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
			return new StoreResult.Ok<>(new StoreLease(leaseId, lease.ttlMs()));
		});
	}

	@Override
	public synchronized StoreResult<HostDirectory> hosts(long afterRevision, long waitMs) {
		return read("hosts", () -> {
			if (this.directory.revision() <= afterRevision) {
				pause(waitMs);
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

	private NavigableMap<String, Value> visible() {
		return (this.staleValues != null) ? this.staleValues : this.values;
	}

	private StoreResult<StoreEntry> entryOf(String key) {
		Value value = visible().get(key);
		return (value != null) ? new StoreResult.Ok<>(new StoreEntry(key, value.text(), value.revision()))
				: new StoreResult.NotFound<>();
	}

	private StoreResult<StoreEntry> newerEntry(String key, long afterRevision) {
		StoreResult<StoreEntry> found = entryOf(key);
		return (found instanceof StoreResult.Ok<StoreEntry> ok && ok.value().revision() > afterRevision) ? found
				: new StoreResult.NotFound<>();
	}

	private boolean pause(long waitMs) {
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

	private void count(String method) {
		this.calls.merge(method, 1, Integer::sum);
	}

	private record Value(String text, long revision, String leaseId) {
	}

	private record Lease(long ttlMs, long expiresAtMs) {
	}

}
