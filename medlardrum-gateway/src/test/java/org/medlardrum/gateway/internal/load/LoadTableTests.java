package org.medlardrum.gateway.internal.load;

import java.util.Map;

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

	@Test
	void loadOfAnUnresponsiveHostExpires() {
		this.table.updatePeer("host-2", Map.of("s1", new ServerLoad(10, 2, 1)), 0);
		assertThat(this.table.total(LoadTable.PEER_EXPIRY_MS + 1)).isEmpty();
		assertThat(this.table.peerCount()).isEqualTo(0);
	}

}
