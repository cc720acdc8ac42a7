package org.medlardrum.standins.internal.engine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Cache of prompt prefixes with least recently used eviction. A prefix is a multiple of
 * {@value #BLOCK_CHARS} characters; its hash is the first 16 hexadecimal digits of the
 * SHA-256 of model, adapter and prefix, separated by line feeds. Thread-safe.
 */
public final class PrefixCache {

	/** Length of a block of a prompt, in characters. */
	public static final int BLOCK_CHARS = 64;

	private static final int MAX_EVENTS = 10_000;

	private final int maxPrefixes;

	private final long eventDelayMs;

	private final double eventLossFraction;

	private final Random random;

	private final LinkedHashMap<String, Integer> prefixes = new LinkedHashMap<>(16, 0.75f, true);

	private final Deque<CacheEvent> events = new ArrayDeque<>();

	private long lastSequence;

	/**
	 * Creates an empty cache.
	 * @param maxPrefixes maximum number of cached prefixes
	 * @param eventDelayMs time until an event is published, in milliseconds
	 * @param eventLossFraction fraction of events that are never published, 0 to 1
	 * @param seed seed for the random choice of lost events
	 */
	public PrefixCache(int maxPrefixes, long eventDelayMs, double eventLossFraction, long seed) {
		this.maxPrefixes = maxPrefixes;
		this.eventDelayMs = eventDelayMs;
		this.eventLossFraction = eventLossFraction;
		this.random = new Random(seed);
	}

	/**
	 * Looks up the longest cached prefix of a prompt and caches all its prefixes.
	 * @param model name of the model
	 * @param adapter name of the adapter, empty for none
	 * @param prompt the prompt
	 * @return length of the longest prefix that was already cached, in characters
	 */
	public synchronized int lookUpAndStore(String model, String adapter, String prompt) {
		int hitChars = 0;
		for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
			String hash = hash(model, adapter, prompt.substring(0, end));
			if (this.prefixes.get(hash) != null) {
				hitChars = end;
			}
			else {
				storePrefix(hash, end);
			}
		}
		return hitChars;
	}

	/**
	 * Removes all prefixes without recording events.
	 */
	public synchronized void clear() {
		this.prefixes.clear();
	}

	/**
	 * Returns the published events after a sequence number.
	 * @param after last sequence number that the reader has received
	 * @param nowMs current time, in milliseconds
	 * @return the events, with gaps in their sequence numbers where events were lost
	 */
	public synchronized List<CacheEvent> events(long after, long nowMs) {
		return this.events.stream()
			.filter((event) -> event.sequence() > after && event.atMs() + this.eventDelayMs <= nowMs)
			.toList();
	}

	/**
	 * Returns the hash of a prefix.
	 * @param model name of the model
	 * @param adapter name of the adapter, empty for none
	 * @param prefix the prefix
	 * @return 16 hexadecimal digits
	 */
	public static String hash(String model, String adapter, String prefix) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			byte[] bytes = digest.digest((model + "\n" + adapter + "\n" + prefix).getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(bytes, 0, 8);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing", ex);
		}
	}

	private void storePrefix(String hash, int chars) {
		this.prefixes.put(hash, chars);
		recordEvent("stored", hash, chars);
		if (this.prefixes.size() > this.maxPrefixes) {
			Map.Entry<String, Integer> leastRecentlyUsed = this.prefixes.entrySet().iterator().next();
			this.prefixes.remove(leastRecentlyUsed.getKey());
			recordEvent("removed", leastRecentlyUsed.getKey(), leastRecentlyUsed.getValue());
		}
	}

	private void recordEvent(String kind, String hash, int chars) {
		this.lastSequence++;
		if (this.random.nextDouble() < this.eventLossFraction) {
			return;
		}
		if (this.events.size() >= MAX_EVENTS) {
			this.events.removeFirst();
		}
		this.events.addLast(new CacheEvent(this.lastSequence, kind, hash, chars, System.currentTimeMillis()));
	}

}
