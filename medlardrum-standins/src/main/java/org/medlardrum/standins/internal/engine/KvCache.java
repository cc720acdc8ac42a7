package org.medlardrum.standins.internal.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * KV cache of an engine, reduced to the number of cached tokens of each sequence. It
 * keeps the {@value #MAX_SEQUENCES} most recently used sequences. Thread-safe.
 */
public final class KvCache {

	private static final int MAX_SEQUENCES = 4096;

	private final Map<String, Integer> tokens = new LinkedHashMap<>(16, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
			return size() > MAX_SEQUENCES;
		}

	};

	/**
	 * Records the number of cached tokens of a sequence.
	 * @param request identifier of the request
	 * @param count number of generated tokens
	 */
	public synchronized void put(String request, int count) {
		this.tokens.put(request, count);
	}

	/**
	 * Returns the number of cached tokens of a sequence.
	 * @param request identifier of the request
	 * @return number of generated tokens, -1 if the sequence is not cached
	 */
	public synchronized int get(String request) {
		return this.tokens.getOrDefault(request, -1);
	}

	/**
	 * Removes all sequences.
	 */
	public synchronized void clear() {
		this.tokens.clear();
	}

}
