package org.medlardrum.standins.internal.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Number of tokens of each recent sequence whose keys and values an engine holds.
 * Thread-safe.
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
	 * Records the tokens of a sequence.
	 * @param request identifier of the request
	 * @param count number of generated tokens
	 */
	public synchronized void put(String request, int count) {
		this.tokens.put(request, count);
	}

	/**
	 * Returns the tokens of a sequence.
	 * @param request identifier of the request
	 * @return number of generated tokens, -1 if the sequence is not held
	 */
	public synchronized int get(String request) {
		return this.tokens.getOrDefault(request, -1);
	}

	/**
	 * Forgets all sequences.
	 */
	public synchronized void clear() {
		this.tokens.clear();
	}

}
