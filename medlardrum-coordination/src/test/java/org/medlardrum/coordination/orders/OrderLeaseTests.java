package org.medlardrum.coordination.orders;

import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.medlardrum.coordination.FakePlatformStore;
import org.medlardrum.coordination.StoreLease;
import org.medlardrum.coordination.StoreResult;

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

	/**
	 * The former lease has ended in the store, so its orders have timed out after 900 ms.
	 */
	@ParameterizedTest
	@CsvSource({ "899, false", "900, true" })
	void firstOrderFollowsTheTimeoutOfOrdersOfTheFormerHolder(long afterMs, boolean maySend) {
		OrderLease lease = lease("a");
		lease.recordStoreEra(era());
		this.nowMs.addAndGet(5_000);
		assertThat(lease.acquire()).isTrue();
		this.nowMs.addAndGet(afterMs);
		assertThat(lease.maySendFirst()).isEqualTo(maySend);
		assertThat(lease.maySend(false)).isFalse();
	}

	private long era() {
		return ((StoreResult.Ok<StoreLease>) this.store.createLease(3_000)).value().era();
	}

	/**
	 * A restored store may lack a lease that its holder still uses.
	 */
	@Test
	void firstOrderAfterARestoreWaitsForALeaseThatTheStoreHasLost() {
		this.store.takeCopy();
		OrderLease next = lease("b");
		next.recordStoreEra(era());
		this.nowMs.addAndGet(10_000);
		OrderLease lost = lease("a");
		assertThat(lost.acquire()).isTrue();
		this.store.restoreCopy();
		assertThat(next.acquire()).isTrue();
		for (int i = 0; i < 30; i++) {
			this.nowMs.addAndGet(100);
			assertThat(lost.isHeld() && next.maySendFirst()).isFalse();
			next.renew();
			if (i == 5) {
				next.recordStoreEra(era());
			}
		}
		assertThat(next.maySendFirst()).isFalse();
		this.nowMs.addAndGet(900);
		next.renew();
		assertThat(next.maySendFirst()).isFalse();
		this.nowMs.addAndGet(100);
		next.renew();
		assertThat(next.maySendFirst()).isTrue();
	}

}
