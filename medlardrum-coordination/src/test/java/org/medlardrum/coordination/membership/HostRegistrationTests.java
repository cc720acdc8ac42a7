package org.medlardrum.coordination.membership;

import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.medlardrum.coordination.FakePlatformStore;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreResult;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a host that the others forget, because its entry was written only once.
 */
class HostRegistrationTests {

	private static final long TTL_MS = 600_000;

	private final AtomicLong nowMs = new AtomicLong(10_000);

	private final FakePlatformStore store = new FakePlatformStore(() -> Instant.ofEpochMilli(this.nowMs.get()));

	private final HostRegistration registration = new HostRegistration(this.store, "hosts/h", "entry", TTL_MS,
			this.nowMs::get);

	@BeforeEach
	void takeEmptyCopyAndRegister() {
		this.store.takeCopy();
		this.registration.step();
		assertThat(isRegistered()).isTrue();
	}

	private boolean isRegistered() {
		return this.store.get("hosts/h") instanceof StoreResult.Ok<StoreEntry>;
	}

	@Test
	void entryOutlivesItsLease() {
		for (int i = 0; i < 10; i++) {
			this.nowMs.addAndGet(TTL_MS / 3);
			this.registration.step();
		}
		assertThat(isRegistered()).isTrue();
		assertThat(this.store.calls("compareAndSet")).isEqualTo(1);
	}

	@Test
	void entryThatARestoredStoreHasLostIsWrittenOnceAfterTheDelay() {
		this.store.restoreCopy();
		this.registration.checkAfter(500);
		this.registration.step();
		assertThat(isRegistered()).isFalse();
		this.nowMs.addAndGet(500);
		this.registration.step();
		assertThat(isRegistered()).isTrue();
		this.nowMs.addAndGet(1_000);
		this.registration.step();
		assertThat(this.store.calls("compareAndSet")).isEqualTo(2);
	}

	@Test
	void checkDuringAnOutageIsRepeated() {
		this.store.restoreCopy();
		this.store.setOutage(true);
		this.registration.checkAfter(0);
		this.registration.step();
		this.store.setOutage(false);
		this.nowMs.addAndGet(1_000);
		this.registration.step();
		assertThat(isRegistered()).isTrue();
	}

	@Test
	void leaseOfAnotherHostWithTheSameIdentifierIsNotRenewed() {
		this.store.restoreCopy();
		this.store.createLease(TTL_MS);
		this.nowMs.addAndGet(TTL_MS / 3);
		this.registration.step();
		assertThat(isRegistered()).isTrue();
	}

}
