package org.medlardrum.coordination.gossip;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;

import org.medlardrum.state.Host;

/**
 * Selects the hosts to exchange digests with: a random host of the own availability zone,
 * and at regular intervals one of another availability zone. If there is no live host of
 * the preferred kind, one of the other kind is selected.
 */
final class PartnerSelector {

	private final String ownZone;

	private final int otherZoneEvery;

	private final RandomGenerator random;

	private long exchanges;

	PartnerSelector(String ownZone, int otherZoneEvery, RandomGenerator random) {
		this.ownZone = ownZone;
		this.otherZoneEvery = otherZoneEvery;
		this.random = random;
		// The random start prevents hosts that start together from contacting other
		// availability zones
		// at the same time.
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
	 * Selects distinct random hosts of any availability zone.
	 * @param peers the live peers
	 * @param count largest number of hosts
	 * @return the hosts, fewer when there are not enough peers
	 */
	List<Host> any(List<Host> peers, int count) {
		List<Host> shuffled = new ArrayList<>(peers);
		Collections.shuffle(shuffled, Random.from(this.random));
		return shuffled.subList(0, Math.min(count, shuffled.size()));
	}

}
