package org.medlardrum.coordination.gossip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.medlardrum.peer.gen.Rumour;
import org.medlardrum.peer.gen.RumourKind;

/**
 * Rumours that a host holds. Merging is commutative and idempotent, so hosts converge in
 * whatever order and however often digests arrive:
 * <ul>
 * <li>Of two rumours of the same kind and subject the one with the later expiry is kept,
 * with equal expiry the one with the larger count.</li>
 * <li>{@code CLEARED} removes {@code SUSPECT} and {@code LEAVING} of its subject unless
 * their expiry is later.</li>
 * </ul>
 * Two limits are exceptions: an expiry is limited to the maximum lifetime from the time
 * of receipt, so a rumour that exceeds it counts as later at each receipt, and a rumour
 * that was evicted from a full table is new when it is received again.
 *
 * <p>
 * The rumours sent the fewest times are sent first, and among these the newest. Ordered
 * by age alone, older rumours would never be sent while there are more newer ones than
 * fit a digest.
 */
final class RumourTable {

	/**
	 * Maximum length of a subject, in characters. A subject is the fingerprint of a
	 * request (64 characters) or a host id.
	 */
	private static final int MAX_SUBJECT_LENGTH = 128;

	private final Map<Key, Entry> entries = new HashMap<>();

	private final long maxLifeMs;

	private final int capacity;

	private long sequence;

	RumourTable(long maxLifeMs, int capacity) {
		this.maxLifeMs = maxLifeMs;
		this.capacity = capacity;
	}

	/**
	 * Merges a rumour into the table.
	 * @param rumour the rumour
	 * @param nowMs current time
	 * @return the merged rumour, with its expiry limited; {@code null} when it is
	 * invalid, expired, cleared, or not later than the one held
	 */
	Rumour merge(Rumour rumour, long nowMs) {
		if (!isValid(rumour) || rumour.getUntilMs() <= nowMs) {
			return null;
		}
		Rumour added = new Rumour(rumour);
		added.setUntilMs(Math.min(rumour.getUntilMs(), nowMs + this.maxLifeMs));
		if (isCleared(added)) {
			return null;
		}
		Key key = new Key(added.getKind(), added.getSubject());
		Entry before = this.entries.get(key);
		if (before != null && !isLater(added, before.rumour)) {
			return null;
		}
		if (added.getKind() == RumourKind.CLEARED) {
			removeIfNotLater(new Key(RumourKind.SUSPECT, added.getSubject()), added.getUntilMs());
			removeIfNotLater(new Key(RumourKind.LEAVING, added.getSubject()), added.getUntilMs());
		}
		this.entries.put(key, new Entry(added, this.sequence++));
		evictIfFull();
		return added;
	}

	private static boolean isLater(Rumour rumour, Rumour other) {
		return rumour.getUntilMs() > other.getUntilMs()
				|| (rumour.getUntilMs() == other.getUntilMs() && rumour.getCount() > other.getCount());
	}

	boolean contains(RumourKind kind, String subject) {
		return this.entries.containsKey(new Key(kind, subject));
	}

	private static boolean isValid(Rumour rumour) {
		return rumour != null && rumour.getKind() != null && rumour.getSubject() != null
				&& !rumour.getSubject().isEmpty() && rumour.getSubject().length() <= MAX_SUBJECT_LENGTH;
	}

	private boolean isCleared(Rumour rumour) {
		if (rumour.getKind() != RumourKind.SUSPECT && rumour.getKind() != RumourKind.LEAVING) {
			return false;
		}
		Entry cleared = this.entries.get(new Key(RumourKind.CLEARED, rumour.getSubject()));
		return cleared != null && cleared.rumour.getUntilMs() >= rumour.getUntilMs();
	}

	private void removeIfNotLater(Key key, long untilMs) {
		Entry other = this.entries.get(key);
		if (other != null && other.rumour.getUntilMs() <= untilMs) {
			this.entries.remove(key);
		}
	}

	private void evictIfFull() {
		if (this.entries.size() > this.capacity) {
			this.entries.values()
				.stream()
				.min(Comparator.comparingLong((entry) -> entry.rumour.getUntilMs()))
				.ifPresent((firstToExpire) -> this.entries.values().remove(firstToExpire));
		}
	}

	void removeExpired(long nowMs) {
		this.entries.values().removeIf((entry) -> entry.rumour.getUntilMs() <= nowMs);
	}

	/**
	 * Returns the rumours in the order in which they should be sent.
	 * @return copies of the rumours
	 */
	List<Rumour> inSendingOrder() {
		List<Entry> ordered = new ArrayList<>(this.entries.values());
		ordered.sort(Comparator.<Entry>comparingInt((entry) -> entry.sentCount)
			.thenComparing(Comparator.<Entry>comparingLong((entry) -> entry.sequence).reversed()));
		return ordered.stream().map((entry) -> new Rumour(entry.rumour)).toList();
	}

	void recordSent(List<Rumour> rumours) {
		for (Rumour rumour : rumours) {
			Entry entry = this.entries.get(new Key(rumour.getKind(), rumour.getSubject()));
			if (entry != null) {
				entry.sentCount++;
			}
		}
	}

	/**
	 * Identity of a rumour.
	 *
	 * @param kind the kind
	 * @param subject the subject
	 */
	private record Key(RumourKind kind, String subject) {
	}

	/**
	 * A rumour, its order of arrival and the number of times it was sent.
	 */
	private static final class Entry {

		private final Rumour rumour;

		private final long sequence;

		private int sentCount;

		Entry(Rumour rumour, long sequence) {
			this.rumour = Objects.requireNonNull(rumour, "rumour");
			this.sequence = sequence;
		}

	}

}
