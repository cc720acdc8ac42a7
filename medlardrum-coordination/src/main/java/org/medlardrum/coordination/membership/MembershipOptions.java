package org.medlardrum.coordination.membership;

/**
 * Settings of {@link Membership}.
 *
 * @param waitMs longest wait of one read of the host list. 420 hosts that wait 20 s make
 * 21 calls/s
 * @param retryMs pause after a failed read
 * @param livenessTimeoutMs time for which a peer counts as alive after its last digest
 * @param unreachableForMs time for which a peer counts as dead after a refused
 * connection, unless it is heard from in between
 */
public record MembershipOptions(long waitMs, long retryMs, long livenessTimeoutMs, long unreachableForMs) {

	/** Default settings. */
	public static final MembershipOptions DEFAULT = new MembershipOptions(20_000, 1_000, 10_000, 10_000);

}
