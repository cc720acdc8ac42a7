package org.medlardrum.coordination.claims;

import java.util.HashSet;
import java.util.Set;

/**
 * State of one key, computed from the entries in the segments of its bucket.
 *
 * @param current claim, completion or release that decides the key, {@code null} when
 * there are only releases of attempts without a stored claim
 * @param released attempts that were released. A claim of one of them that arrives late
 * is not granted
 * @param newestAtMs time of the newest entry
 */
record KeyState(ClaimEntry current, Set<String> released, long newestAtMs) {

	private static final KeyState EMPTY = new KeyState(null, Set.of(), 0);

	/**
	 * Returns the state after one more entry.
	 * @param state state before, {@code null} for a key without entries
	 * @param entry the entry
	 * @return the state after it
	 */
	static KeyState apply(KeyState state, ClaimEntry entry) {
		KeyState before = (state != null) ? state : EMPTY;
		long atMs = Math.max(before.newestAtMs, entry.atMs());
		boolean sameAttempt = before.current != null && before.current.attemptId().equals(entry.attemptId());
		return switch (entry.kind()) {
			case CLAIMED -> new KeyState(entry, before.released, atMs);
			case COMPLETED ->
				(sameAttempt || before.current == null) ? new KeyState(entry, before.released, atMs) : before;
			case RELEASED -> new KeyState((sameAttempt && before.isOpen()) ? entry : before.current,
					plus(before.released, entry.attemptId()), atMs);
			case SEALED -> before;
		};
	}

	private static Set<String> plus(Set<String> attempts, String attemptId) {
		Set<String> result = new HashSet<>(attempts);
		result.add(attemptId);
		return Set.copyOf(result);
	}

	boolean isOpen() {
		return this.current != null && this.current.kind() == EntryKind.CLAIMED;
	}

	boolean isOpenFor(String attemptId) {
		return isOpen() && this.current.attemptId().equals(attemptId);
	}

}
