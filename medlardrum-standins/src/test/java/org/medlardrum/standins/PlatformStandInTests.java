package org.medlardrum.standins;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.medlardrum.state.Host;
import org.medlardrum.state.HostDirectory;
import org.medlardrum.state.HostState;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a platform stand-in that accepts writes with a stale revision, loses or
 * repeats writes, or keeps the keys of an expired lease. Tests of claims and of the
 * configuration rely on it and would then prove nothing.
 */
@Timeout(120)
class PlatformStandInTests {

	private final AtomicLong nowMs = new AtomicLong(1_000_000);

	private final InstantSource clock = () -> java.time.Instant.ofEpochMilli(this.nowMs.get());

	private final PlatformStandIn platform = new PlatformStandIn(new PlatformSettings(0, 0, 0, 0, this.clock));

	private final TestHttp http = new TestHttp(this.platform.address());

	@AfterEach
	void close() {
		this.platform.close();
	}

	@Test
	void writeWithStaleRevisionIsRefusedWithTheCurrentEntry() throws Exception {
		assertThat(this.http.put("/v1/kv/config/change/1?expect=0", "a")).isEqualTo(200);
		long revision = this.http.json().get("revision").getAsLong();
		assertThat(this.http.put("/v1/kv/config/change/1?expect=0", "b")).isEqualTo(409);
		assertThat(this.http.json().get("value").getAsString()).isEqualTo("a");
		assertThat(this.http.put("/v1/kv/config/change/1?expect=" + revision, "c")).isEqualTo(200);
		assertThat(this.http.put("/v1/kv/config/change/1?expect=" + revision, "d")).isEqualTo(409);
		this.http.get("/v1/list?prefix=config/");
		assertThat(this.http.body()).contains("\"value\":\"c\"");
	}

	@Test
	void restoredStoreLosesWritesAndLeasesAndAssignsRevisionsAgain() throws Exception {
		this.http.put("/v1/kv/a?expect=0", "old");
		this.nowMs.addAndGet(5_000);
		this.http.post("/v1/leases", "{\"ttlMs\":60000}");
		String lostLease = this.http.json().get("id").getAsString();
		this.http.put("/v1/kv/b?expect=0&lease=" + lostLease, "lost");
		long lostRevision = this.http.json().get("revision").getAsLong();
		this.http.post("/control/faults", "{\"restoreCopyAgeMs\":0}");
		this.nowMs.addAndGet(1);
		assertThat(this.http.get("/v1/kv/b")).isEqualTo(404);
		assertThat(this.http.get("/v1/kv/a")).isEqualTo(200);
		assertThat(this.http.json().get("era").getAsLong()).isEqualTo(2);
		assertThat(this.http.post("/v1/leases/" + lostLease + "/renew", "")).isEqualTo(404);
		assertThat(this.http.put("/v1/kv/c?expect=0", "new")).isEqualTo(200);
		assertThat(this.http.json().get("revision").getAsLong()).isEqualTo(lostRevision);
		assertThat(this.http.put("/v1/kv/c?era=1&expect=" + lostRevision, "other")).isEqualTo(409);
		assertThat(this.http.put("/v1/kv/c?era=2&expect=" + lostRevision, "other")).isEqualTo(200);
	}

	@Test
	void concurrentCreationsHaveOneWinner() throws Exception {
		List<CompletableFuture<Integer>> calls = java.util.stream.IntStream.range(0, 16)
			.mapToObj((i) -> CompletableFuture.supplyAsync(() -> {
				try {
					return new TestHttp(this.platform.address()).put("/v1/kv/race?expect=0", "writer " + i);
				}
				catch (Exception ex) {
					throw new IllegalStateException(ex);
				}
			}))
			.toList();
		long won = calls.stream().filter((call) -> call.join() == 200).count();
		assertThat(won).isEqualTo(1);
	}

	@Test
	void writeWithALostResponseTakesEffect() throws Exception {
		this.platform.loseWriteResponses(1);
		assertThat(this.http.put("/v1/kv/claims/1?expect=0", "mine")).isEqualTo(TestHttp.NO_RESPONSE);
		assertThat(this.http.get("/v1/kv/claims/1")).isEqualTo(200);
		assertThat(this.http.json().get("value").getAsString()).isEqualTo("mine");
		assertThat(this.http.put("/v1/kv/claims/2?expect=0", "answered")).isEqualTo(200);
	}

	@Test
	void expiredLeaseRemovesItsKeyAndTheRevisionIsNeverReused() throws Exception {
		this.http.post("/v1/leases", "{\"ttlMs\":1000}");
		String lease = this.http.json().get("id").getAsString();
		this.http.put("/v1/kv/orders/lease?expect=0&lease=" + lease, "first");
		long revision = this.http.json().get("revision").getAsLong();
		this.nowMs.addAndGet(1001);
		assertThat(this.http.get("/v1/kv/orders/lease")).isEqualTo(404);
		assertThat(this.http.post("/v1/leases/" + lease + "/renew", "")).isEqualTo(404);
		assertThat(this.http.put("/v1/kv/orders/lease?expect=" + revision, "paused holder")).isEqualTo(409);
		assertThat(this.http.put("/v1/kv/orders/lease?expect=0", "second")).isEqualTo(200);
		assertThat(this.http.json().get("revision").getAsLong()).isGreaterThan(revision);
	}

	@Test
	void waitingWatchReturnsTheWriteAndEndsInAnOutage() throws Exception {
		CompletableFuture<String> watch = CompletableFuture.supplyAsync(this::watch);
		while (this.platform.counters().getOrDefault("waitingWatches", 0L) == 0) {
			Thread.sleep(Duration.ofMillis(1));
		}
		this.http.put("/v1/kv/config/change/2?expect=0", "new");
		assertThat(watch.get(10, TimeUnit.SECONDS)).contains("new");
		this.platform.setOutage(true);
		assertThat(this.http.get("/v1/kv/config/change/2")).isEqualTo(503);
	}

	@Test
	void staleReadsReturnTheOlderValueAndWritesStillCompareTheNewest() throws Exception {
		this.http.put("/v1/kv/k?expect=0", "old");
		long old = this.http.json().get("revision").getAsLong();
		this.nowMs.addAndGet(5000);
		this.http.put("/v1/kv/k?expect=" + old, "new");
		this.platform.setReadStaleness(1000);
		this.http.get("/v1/kv/k");
		assertThat(this.http.json().get("value").getAsString()).isEqualTo("old");
		assertThat(this.http.put("/v1/kv/k?expect=" + old, "overwrite")).isEqualTo(409);
	}

	@Test
	void hostListChangeIsSeenAfterTheLagOnly() throws Exception {
		this.platform.setHostsLagMs(3000);
		Host host = new Host("h1", "z1", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", HostState.LEAVING);
		this.platform.setHosts(new HostDirectory(0, List.of(host), List.of()));
		assertThat(this.http.get("/v1/hosts?after=0&waitMs=0")).isEqualTo(404);
		this.nowMs.addAndGet(3000);
		assertThat(this.http.get("/v1/hosts?after=0&waitMs=0")).isEqualTo(200);
		assertThat(this.http.body()).contains("\"leaving\"");
	}

	private String watch() {
		try {
			TestHttp watcher = new TestHttp(this.platform.address());
			watcher.get("/v1/watch/config/change/2?after=0&waitMs=30000");
			return watcher.body();
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

}
