package org.medlardrum.coordination.claims;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.peer.gen.ClaimRequest;
import org.medlardrum.peer.gen.ClaimVerdict;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a second execution of a request when an availability zone is partitioned
 * from the other zones, from the platform, or from both. Hosts 0 and 1 are in one zone,
 * hosts 2 and 3 in another.
 */
class IsolatedZoneTests {

	private static final String KEY = "booking-1";

	private final List<FaultyStore> connections = new ArrayList<>();

	private final ClaimCluster cluster = new ClaimCluster(4, ClaimCluster.OPTIONS, this::connect);

	@ParameterizedTest
	@ValueSource(ints = { 0, 1 })
	void zoneWithoutThePlatformGrantsNothingAndTheOtherZoneDecides(int isolatedHost) {
		disconnectPeers();
		setPlatformDisconnected(Set.of(0, 1), true);
		assertThat(this.cluster.verdict(isolatedHost, KEY)).isEqualTo(ClaimVerdict.STORE_UNAVAILABLE);
		ClaimRequest granted = this.cluster.request(2, KEY);
		assertThat(this.cluster.ledgers.get(2).claim(granted).getVerdict()).isEqualTo(ClaimVerdict.GRANTED);
		assertThat(this.cluster.ledgers.get(2).recordOutcome(ClaimCluster.completed(granted, 201))).isTrue();
		endPartition();
		assertThat(this.cluster.claim(isolatedHost, KEY).getOutcome().getStatus()).isEqualTo(201);
	}

	@Test
	void zonesThatReachThePlatformButNotEachOtherGrantAKeyOnce() {
		disconnectPeers();
		int grants = 0;
		for (int round = 0; round < 20; round++) {
			String key = "booking-" + round;
			for (int host = 0; host < 4; host++) {
				grants += (this.cluster.verdict((host + round) % 4, key) == ClaimVerdict.GRANTED) ? 1 : 0;
			}
		}
		assertThat(grants).isEqualTo(20);
	}

	@Test
	void claimGrantedBeforeThePartitionIsNeverGrantedToTheOtherZone() {
		assertThat(this.cluster.verdict(0, KEY)).isEqualTo(ClaimVerdict.GRANTED);
		disconnectPeers();
		setPlatformDisconnected(Set.of(0, 1), true);
		this.cluster.run(60_000);
		assertThat(this.cluster.verdict(2, KEY)).isEqualTo(ClaimVerdict.OUTCOME_UNKNOWN);
		endPartition();
		assertThat(this.cluster.verdict(3, KEY)).isEqualTo(ClaimVerdict.OUTCOME_UNKNOWN);
	}

	private PlatformStore connect(PlatformStore store) {
		FaultyStore connection = new FaultyStore(store);
		this.connections.add(connection);
		return connection;
	}

	private void disconnectPeers() {
		this.cluster.network = (peer, link) -> ClaimCluster.CallDelivery.REFUSED;
		for (int host = 0; host < 4; host++) {
			this.cluster.isolate(host);
		}
	}

	private void setPlatformDisconnected(Set<Integer> hosts, boolean disconnected) {
		for (int host : hosts) {
			this.connections.get(host).readsFail = disconnected;
			this.connections.get(host).writes = (write) -> (disconnected)
					? () -> new StoreResult.Unavailable<StoreEntry>("no route to host") : write;
		}
	}

	private void endPartition() {
		this.cluster.network = (peer, link) -> link;
		setPlatformDisconnected(Set.of(0, 1), false);
		this.cluster.run(15_000);
	}

}
