package org.medlardrum.coordination.gossip;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.decisions.HostDemand;
import org.medlardrum.peer.gen.Digest;
import org.medlardrum.peer.gen.OrganisationDemand;
import org.medlardrum.peer.gen.RankDemand;
import org.medlardrum.peer.gen.Rumour;
import org.medlardrum.peer.gen.RumourKind;
import org.medlardrum.state.Rank;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against facts that do not reach every host, and against digests that exceed the
 * control-plane budget.
 */
class GossipTests {

	/**
	 * log2(16) = 4 rounds without loss; the bound allows for loss and unlucky partners.
	 */
	private static final int MAX_ROUNDS = 15;

	private static int roundsUntil(GossipCluster cluster, Predicate<Gossip> reached) {
		int rounds = 0;
		while (rounds < 100 && !cluster.hosts.stream().allMatch(reached)) {
			cluster.round();
			rounds++;
		}
		return rounds;
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void rumourReachesAllHostsInSpiteOfLoss(long seed) {
		GossipCluster cluster = new GossipCluster(16, 3, 0.2, seed);
		long untilMs = cluster.clock.millis() + 600_000;
		cluster.hosts.get(3).addRumour(new Rumour(RumourKind.QUARANTINED, "fingerprint", untilMs, 3));
		int rounds = roundsUntil(cluster, (gossip) -> gossip.quarantinedUntilMs("fingerprint") == untilMs);
		assertWithMessage("rounds with seed %s", seed).that(rounds).isAtMost(MAX_ROUNDS);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void oldRumourReachesAllHostsBesideManyNewerOnes(long seed) {
		GossipCluster cluster = new GossipCluster(16, 3, 0.2, seed);
		long untilMs = cluster.clock.millis() + 600_000;
		for (int i = 0; i < 40; i++) {
			cluster.hosts.get(i % 16)
				.addRumour(new Rumour(RumourKind.QUARANTINED, "f".repeat(60) + (1_000 + i), untilMs, 3));
		}
		int rounds = roundsUntil(cluster, (gossip) -> gossip.rumours().size() == 40);
		assertWithMessage("rounds with seed %s", seed).that(rounds).isAtMost(60);
	}

	@Test
	void digestStaysWithinItsSizeForManyOrganisationsAndRumours() {
		GossipCluster cluster = new GossipCluster(2, 1, 0, 1);
		publish(cluster.hosts.get(0), 410);
		for (int i = 0; i < 200; i++) {
			cluster.hosts.get(0)
				.addRumour(new Rumour(RumourKind.SUSPECT, "f".repeat(61) + i, cluster.clock.millis() + 600_000, 1));
		}
		cluster.round();
		cluster.round();
		DigestBuilder sizes = new DigestBuilder(GossipOptions.DIGEST_LIMIT_BYTES);
		int largest = 0;
		for (Digest digest : cluster.sent) {
			largest = Math.max(largest, sizes.sizeBytes(digest));
		}
		assertThat(largest).isAtMost(GossipOptions.DEFAULT.maxDigestBytes());
		assertThat(largest).isAtLeast(GossipOptions.DEFAULT.maxDigestBytes() * 3 / 4);
		Digest full = cluster.sent.stream().filter((digest) -> digest.getOrganisationsSize() > 0).findFirst().get();
		assertThat(full.getRanksSize()).isEqualTo(3);
		assertThat(full.getOrganisations().get(0).getOrganisation()).isEqualTo("organisation-409");
		assertThat(full.getRumours()).isNotEmpty();
	}

	static void publish(Gossip gossip, int organisations) {
		List<RankDemand> ranks = new ArrayList<>();
		for (Rank rank : Rank.values()) {
			ranks.add(new RankDemand("models", (short) rank.ordinal(), 1_000_000L * (rank.ordinal() + 1), 900_000));
		}
		List<OrganisationDemand> demands = new ArrayList<>();
		for (int i = 0; i < organisations; i++) {
			demands.add(new OrganisationDemand("models", "organisation-" + i, 1_000L * i, 900L * i));
		}
		gossip.publishDemand(ranks, demands);
	}

	@Test
	void demandIsKeptForTenSecondsAfterItWasHeard() {
		GossipCluster cluster = new GossipCluster(3, 1, 0, 1);
		cluster.hosts.forEach((gossip) -> publish(gossip, 10));
		for (int i = 0; i < 10; i++) {
			cluster.round();
		}
		assertThat(cluster.hosts.get(0).demands("models")).hasSize(3);
		for (HostDemand demand : cluster.hosts.get(0).demands("models")) {
			assertThat(demand.demandCostPerS()).containsEntry(Rank.BACKGROUND, 3_000_000L);
		}
		for (HostDemand demand : cluster.hosts.get(0).demands("services")) {
			assertThat(demand.demandCostPerS()).isEmpty();
		}
		cluster.clock.advance(GossipOptions.DEFAULT.demandKeepMs() + 1);
		cluster.hosts.get(0).step();
		assertThat(cluster.hosts.get(0).demands("models")).hasSize(1);
	}

	@Test
	void everyEighthPartnerIsOfAnotherZone() {
		GossipCluster cluster = new GossipCluster(12, 3, 1, 1);
		for (int i = 0; i < 80; i++) {
			cluster.round();
		}
		int other = 0;
		int own = 0;
		for (int i = 0; i < cluster.sent.size(); i++) {
			boolean same = cluster.sent.get(i)
				.getAvailabilityZone()
				.equals(cluster.receivers.get(i).availabilityZone());
			own += (same) ? 1 : 0;
			other += (same) ? 0 : 1;
		}
		assertThat(other).isEqualTo(own / 7);
	}

	@Test
	void newVersionIsPushedAtOnceAndHeardByTheListener() {
		GossipCluster cluster = new GossipCluster(16, 3, 0, 1);
		Set<Integer> informed = new HashSet<>();
		for (int i = 0; i < 16; i++) {
			int index = i;
			Gossip gossip = cluster.hosts.get(i);
			gossip.onPeerVersion((host, version) -> {
				if (version == 7 && informed.add(index)) {
					gossip.publishVersion(7);
				}
			});
		}
		informed.add(0);
		cluster.hosts.get(0).publishVersion(7);
		for (int i = 0; i < 5; i++) {
			cluster.hosts.forEach(Gossip::step);
		}
		assertThat(informed.size()).isAtLeast(12);
		for (int i = 0; i < MAX_ROUNDS; i++) {
			cluster.round();
		}
		assertThat(informed).hasSize(16);
	}

	@Test
	void drainingHostIsKnownAsLeavingUntilItWithdraws() {
		GossipCluster cluster = new GossipCluster(6, 2, 0, 1);
		cluster.hosts.get(0).setDraining(true);
		int rounds = roundsUntil(cluster, (gossip) -> isLeaving(cluster, gossip));
		assertThat(rounds).isAtMost(MAX_ROUNDS);
		for (int i = 0; i < 100; i++) {
			cluster.round();
		}
		assertThat(cluster.hosts.stream().allMatch((gossip) -> isLeaving(cluster, gossip))).isTrue();
		cluster.hosts.get(0).setDraining(false);
		for (int i = 0; i < MAX_ROUNDS; i++) {
			cluster.round();
		}
		assertThat(cluster.hosts.stream().noneMatch((gossip) -> isLeaving(cluster, gossip))).isTrue();
	}

	private static boolean isLeaving(GossipCluster cluster, Gossip gossip) {
		return cluster.memberships.get(cluster.hosts.indexOf(gossip)).isLeaving("entry-0");
	}

	@Test
	void crashFactsSpreadAndACompletedSuspectIsClearedEverywhere() {
		GossipCluster cluster = new GossipCluster(6, 2, 0, 1);
		cluster.hosts.get(0).recordCrash("engine-1", "boot-1", Set.of("a", "b"));
		int rounds = roundsUntil(cluster, (gossip) -> gossip.isSuspect("a") && gossip.isSuspect("b"));
		assertThat(rounds).isAtMost(MAX_ROUNDS);
		cluster.hosts.get(4).recordCompletion("b");
		rounds = roundsUntil(cluster, (gossip) -> gossip.isSuspect("a") && !gossip.isSuspect("b"));
		assertThat(rounds).isAtMost(MAX_ROUNDS);
		assertThat(cluster.hosts.get(2).crashFacts()).hasSize(1);
	}

	@Test
	void floodOfDigestsIsBoundedAndDropped() {
		GossipCluster cluster = new GossipCluster(2, 1, 0, 1);
		for (int i = 0; i < 10_000; i++) {
			cluster.hosts.get(0).receive(new Digest().setHostId("entry-1"));
		}
		cluster.hosts.get(0).step();
		assertThat(cluster.hosts.get(0).stats().dropped()).isGreaterThan(0L);
		assertThat(cluster.hosts.get(0).stats().sent()).isAtMost(6L);
	}

}
