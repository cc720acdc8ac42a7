package org.medlardrum.standins.internal.platform;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counters by name. Thread-safe.
 */
public final class Counters {

	private final ConcurrentHashMap<String, LongAdder> counters = new ConcurrentHashMap<>();

	/**
	 * Adds to a counter.
	 * @param name name of the counter
	 * @param delta amount to add, may be negative
	 */
	public void add(String name, long delta) {
		this.counters.computeIfAbsent(name, (key) -> new LongAdder()).add(delta);
	}

	/**
	 * Returns every counter to which {@link #add(String, long)} was applied at least
	 * once.
	 * @return values by name
	 */
	public Map<String, Long> values() {
		Map<String, Long> values = new TreeMap<>();
		this.counters.forEach((name, counter) -> values.put(name, counter.sum()));
		return values;
	}

}
