package org.medlardrum.coordination.follow;

import java.util.Optional;
import java.util.function.LongSupplier;

import org.medlardrum.coordination.StoreVersion;
import org.medlardrum.coordination.follow.PeerConfirmations.PeerConfirmation;

/**
 * Last version that this host has read from the store. Thread-safe.
 */
final class LastRead {

	private final LongSupplier monotonicMs;

	private final LongSupplier wallMs;

	/** {@code null} before the first read. */
	private volatile Entry entry;

	LastRead(LongSupplier monotonicMs, LongSupplier wallMs) {
		this.monotonicMs = monotonicMs;
		this.wallMs = wallMs;
	}

	/**
	 * Records a read.
	 * @param version version of the store
	 * @param sentMs time at which the read was sent, on the monotonic clock
	 * @param sentWallMs the same time on the wall clock
	 */
	void record(StoreVersion version, long sentMs, long sentWallMs) {
		this.entry = new Entry(version, sentMs, sentWallMs);
	}

	/**
	 * Returns the read, if it is recent.
	 * @param maxAgeMs longest age in milliseconds
	 * @return the version and its age, empty if the read is older
	 */
	Optional<PeerConfirmation> within(long maxAgeMs) {
		Entry last = this.entry;
		if (last == null) {
			return Optional.empty();
		}
		// The monotonic clock may stop while the host is suspended.
		long ageMs = Math.max(this.monotonicMs.getAsLong() - last.sentMs, this.wallMs.getAsLong() - last.sentWallMs);
		return (ageMs <= maxAgeMs) ? Optional.of(new PeerConfirmation(last.version, ageMs)) : Optional.empty();
	}

	private record Entry(StoreVersion version, long sentMs, long sentWallMs) {
	}

}
