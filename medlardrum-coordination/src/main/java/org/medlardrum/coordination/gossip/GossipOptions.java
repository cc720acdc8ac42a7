package org.medlardrum.coordination.gossip;

/**
 * Settings of {@link Gossip}.
 *
 * @param intervalMs time between two exchanges started by a host
 * @param maxDigestBytes largest encoded digest. A host starts one exchange a second and
 * replies to one on average, so it sends and receives four digests a second in total;
 * with 430 B and 28 B of IP and UDP headers each, these use 1.8 KB/s of the control-plane
 * budget of 2 KB/s
 * @param demandKeepMs time for which the demand of a host is kept after it was received
 * @param rumourMaxMs longest lifetime of a rumour, which limits the effect of a host
 * whose clock is far ahead
 * @param maxRumours largest number of rumours kept
 * @param pushFanOut number of peers that receive a new configuration version immediately
 * @param otherZoneEvery one exchange out of this many is with a host of another
 * availability zone
 * @param quarantineMs duration of a quarantine and of a suspicion
 */
public record GossipOptions(long intervalMs, int maxDigestBytes, long demandKeepMs, long rumourMaxMs, int maxRumours,
		int pushFanOut, int otherZoneEvery, long quarantineMs) {

	/** Largest digest that any host may send, in bytes. */
	public static final int DIGEST_LIMIT_BYTES = 900;

	/** Default settings. */
	public static final GossipOptions DEFAULT = new GossipOptions(1_000, 430, 10_000, 3_600_000, 1_000, 4, 8, 600_000);

	/**
	 * Returns these settings with another duration of a quarantine.
	 * @param quarantineMs duration of a quarantine and of a suspicion
	 * @return the settings
	 */
	public GossipOptions withQuarantineMs(long quarantineMs) {
		return new GossipOptions(this.intervalMs, this.maxDigestBytes, this.demandKeepMs, this.rumourMaxMs,
				this.maxRumours, this.pushFanOut, this.otherZoneEvery, quarantineMs);
	}

	public GossipOptions {
		maxDigestBytes = Math.min(maxDigestBytes, DIGEST_LIMIT_BYTES);
	}

}
