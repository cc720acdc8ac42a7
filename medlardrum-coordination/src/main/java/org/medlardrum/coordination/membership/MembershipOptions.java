package org.medlardrum.coordination.membership;

/**
 * Settings of {@link Membership}.
 *
 * @param waitMs maximum wait of one read of the host list. 420 hosts that wait for 20 s
 * each make 21 calls/s
 * @param retryMs retry interval after a failed read
 * @param livenessTimeoutMs time for which a peer counts as alive after its last contact,
 * such as a digest
 * @param unreachableForMs time for which a peer counts as unreachable after a refused
 * connection, unless contact is made in between
 */
public record MembershipOptions(long waitMs, long retryMs, long livenessTimeoutMs, long unreachableForMs) {

	/** Default settings. */
	public static final MembershipOptions DEFAULT = new MembershipOptions(20_000, 1_000, 10_000, 10_000);

}
