package org.medlardrum.coordination.orders;

import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;
import org.medlardrum.coordination.FakePlatformStore;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against two issuers of orders after the store was restored from an older copy
 * and has given the identifier and the revision of a lost lease to another host.
 */
class OrderLeaseTests {

	private static final OrderOptions OPTIONS = new OrderOptions(3_000, 500, 400, 500, 6_000, 1);

	private final AtomicLong nowMs = new AtomicLong(10_000);

	private final FakePlatformStore store = new FakePlatformStore(() -> Instant.ofEpochMilli(this.nowMs.get()));

	private OrderLease lease(String host) {
		return new OrderLease(this.store, host, () -> Instant.ofEpochMilli(this.nowMs.get()), OPTIONS);
	}

	@Test
	void leaseOfALostHistoryIsAbandonedAlthoughItsIdentifierIsAssignedAgain() {
		OrderLease lost = lease("a");
		this.store.takeCopy();
		assertThat(lost.acquire()).isTrue();
		this.store.restoreCopy();
		OrderLease next = lease("b");
		assertThat(next.acquire()).isTrue();
		this.nowMs.addAndGet(1_500);
		lost.renew();
		assertThat(lost.isHeld()).isFalse();
		assertThat(next.isHeld()).isTrue();
	}

	@Test
	void fencingTokenRisesAcrossARestore() {
		this.store.takeCopy();
		this.store.put("other", "1");
		OrderLease lost = lease("a");
		assertThat(lost.acquire()).isTrue();
		this.store.restoreCopy();
		OrderLease next = lease("b");
		assertThat(next.acquire()).isTrue();
		assertThat(next.token()).isGreaterThan(lost.token());
	}

}
