package org.medlardrum.gateway.internal.load;

import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.medlardrum.decisions.pool.ServerLoad;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against load that stays reserved after its request has ended, and against load
 * of hosts that no longer send reports.
 */
class LoadTableTests {

	private final LoadTable table = new LoadTable();

	@Test
	void totalIncludesOwnLoadAndThatOfOtherHosts() {
		Reservation own = this.table.reserveSlot("s1");
		this.table.updatePeer("host-2", Map.of("s1", new ServerLoad(10, 2, 1)), 0);
		assertThat(this.table.total(0).get("s1")).isEqualTo(new ServerLoad(10, 3, 2));
		own.close();
		// Closing a reservation again must not release the load a second time.
		own.close();
		assertThat(this.table.total(0).get("s1")).isEqualTo(new ServerLoad(10, 2, 1));
	}

	/**
	 * Requests that wait are tried only when capacity may have become free; a round for
	 * each digest would take much of a host's processor.
	 */
	@Test
	void listenerRunsWhenCapacityBecomesFree() {
		AtomicInteger runs = new AtomicInteger();
		this.table.onFreed(runs::incrementAndGet);
		Reservation own = this.table.reserveSlot("s1");
		this.table.updatePeer("host-2", Map.of("s1", new ServerLoad(10, 2, 1)), 0);
		this.table.updatePeer("host-2", Map.of("s1", new ServerLoad(20, 3, 1), "s2", new ServerLoad(1, 1, 1)), 0);
		assertThat(runs.get()).isEqualTo(0);
		this.table.updatePeer("host-2", Map.of("s1", new ServerLoad(20, 3, 1)), 0);
		assertThat(runs.get()).isEqualTo(1);
		this.table.updatePeer("host-2", Map.of("s1", new ServerLoad(15, 3, 1)), 0);
		assertThat(runs.get()).isEqualTo(2);
		own.close();
		own.close();
		assertThat(runs.get()).isEqualTo(3);
	}

	@Test
	void loadOfAnUnresponsiveHostExpires() {
		this.table.updatePeer("host-2", Map.of("s1", new ServerLoad(10, 2, 1)), 0);
		assertThat(this.table.total(LoadTable.PEER_EXPIRY_MS + 1)).isEmpty();
		assertThat(this.table.peerCount()).isEqualTo(0);
	}

}
