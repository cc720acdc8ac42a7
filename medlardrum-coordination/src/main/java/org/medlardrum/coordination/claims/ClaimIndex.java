package org.medlardrum.coordination.claims;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * States of the keys of one bucket. Entries that are not written yet are applied to a
 * child index, which leaves its parent unchanged.
 */
final class ClaimIndex {

	private final ClaimIndex parent;

	private final Map<String, KeyState> states = new HashMap<>();

	private final LongSupplier retentionMs;

	ClaimIndex(LongSupplier retentionMs) {
		this(null, retentionMs);
	}

	private ClaimIndex(ClaimIndex parent, LongSupplier retentionMs) {
		this.parent = parent;
		this.retentionMs = retentionMs;
	}

	/**
	 * Returns an index on top of this one, to which entries can be applied without
	 * changing this one.
	 * @return the index
	 */
	ClaimIndex child() {
		return new ClaimIndex(this, this.retentionMs);
	}

	void apply(ClaimEntry entry) {
		if (entry.kind() != EntryKind.SEALED) {
			this.states.put(entry.key(), KeyState.apply(find(entry.key()), entry));
		}
	}

	private KeyState find(String key) {
		KeyState state = this.states.get(key);
		return (state != null || this.parent == null) ? state : this.parent.find(key);
	}

	/**
	 * Returns the state of a key.
	 * @param key the key
	 * @param nowMs current time, in milliseconds since the epoch
	 * @return the state, {@code null} when the key has no entries or its retention has
	 * ended
	 */
	KeyState get(String key, long nowMs) {
		KeyState state = find(key);
		return (state != null && nowMs - state.newestAtMs() <= this.retentionMs.getAsLong()) ? state : null;
	}

	void removeExpired(long nowMs) {
		this.states.values().removeIf((state) -> nowMs - state.newestAtMs() > this.retentionMs.getAsLong());
	}

	int size() {
		return this.states.size();
	}

}
