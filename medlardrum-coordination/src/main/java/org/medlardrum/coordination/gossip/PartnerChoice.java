package org.medlardrum.coordination.gossip;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;

import org.medlardrum.state.Host;

/**
 * Chooses whom to exchange digests with: a random host of the own availability zone, and
 * every few exchanges one of another zone. When the preferred side has no live host, the
 * other one is used.
 */
final class PartnerChoice {

	private final String ownZone;

	private final int otherZoneEvery;

	private final RandomGenerator random;

	private long exchanges;

	PartnerChoice(String ownZone, int otherZoneEvery, RandomGenerator random) {
		this.ownZone = ownZone;
		this.otherZoneEvery = otherZoneEvery;
		this.random = random;
		// A random start keeps hosts that start together from crossing zones in step.
		this.exchanges = random.nextInt(otherZoneEvery);
	}

	Optional<Host> next(List<Host> peers) {
		boolean other = this.exchanges++ % this.otherZoneEvery == 0;
		Optional<Host> partner = anyOf(peers, other);
		return (partner.isPresent()) ? partner : anyOf(peers, !other);
	}

	private Optional<Host> anyOf(List<Host> peers, boolean otherZone) {
		List<Host> candidates = peers.stream()
			.filter((host) -> host.availabilityZone().equals(this.ownZone) != otherZone)
			.toList();
		return (candidates.isEmpty()) ? Optional.empty()
				: Optional.of(candidates.get(this.random.nextInt(candidates.size())));
	}

	/**
	 * Chooses distinct random hosts of any zone.
	 * @param peers the live peers
	 * @param count how many to choose
	 * @return at most that many hosts
	 */
	List<Host> any(List<Host> peers, int count) {
		List<Host> shuffled = new ArrayList<>(peers);
		Collections.shuffle(shuffled, Random.from(this.random));
		return shuffled.subList(0, Math.min(count, shuffled.size()));
	}

}
