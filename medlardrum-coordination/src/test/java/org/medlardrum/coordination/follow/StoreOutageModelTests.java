package org.medlardrum.coordination.follow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.medlardrum.coordination.ChangeFeed;
import org.medlardrum.coordination.StoreChange;
import org.medlardrum.coordination.StoreChanges;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.StoreVersion;
import org.medlardrum.coordination.follow.PeerConfirmations.PeerConfirmation;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against a copy that lacks a change for longer than its bound while the store is
 * stable, and against removing entries that expired during an outage. Calls for changes
 * are cut at any time, open connections become unresponsive, the store refuses calls for
 * some seconds or a single one, and another host confirms the copy or does not. Runs more
 * seeds with {@code -Doutage.seeds=1000}.
 */
class StoreOutageModelTests {

	private static final int DEFAULT_SEEDS = 60;

	private static final long END_MS = 120_000;

	/** Time without an outage after which the store counts as stable. */
	private static final long STABLE_MS = 3_000;

	/** Bound of a change, and of a removal, while the store is stable. */
	private static final long APPLY_MS = 2_000;

	private static final long WAIT_MS = 10_000;

	private static final ConfirmationSchedule SCHEDULE = ConfirmationSchedule.within(APPLY_MS, 150);

	private static final long HOLD_REMOVALS_MS = 2_200;

	/** Shortest outage in which an entry may expire. */
	private static final long EXPIRY_MS = 2_000;

	/** Time after which a call on an unresponsive connection fails. */
	private static final long TIMEOUT_MS = 900;

	/** Time in which the owner of an expired entry writes it again. */
	private static final long REWRITE_MS = 1_900;

	static LongStream seeds() {
		return LongStream.rangeClosed(1, Integer.getInteger("outage.seeds", DEFAULT_SEEDS));
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void changesTakeEffectInTimeAndExpiredEntriesStay(long seed) {
		new Run(seed).play();
	}

	/** One random run. The store, its writers and the follower share one thread. */
	private static final class Run implements ChangeFeed, StoreListener {

		private final long seed;

		private final Random random;

		private final boolean hasPeer;

		private final StoreFollower follower;

		private final List<StoreChange> history = new ArrayList<>();

		private final Map<String, StoreChange> items = new HashMap<>();

		private final List<Runnable> dueActions = new ArrayList<>();

		private final List<Long> dueMs = new ArrayList<>();

		private final Map<String, StoreChange> latestChanges = new HashMap<>();

		private Map<String, String> copy = Map.of();

		private long nowMs = 10_000;

		private long outageFromMs = Long.MAX_VALUE;

		private long outageToMs;

		private boolean cutsWaitingCalls;

		private boolean cut;

		private long confirmAtMs;

		private long writes;

		/** Time of the last disturbance of the store or of the connections to it. */
		private long disturbedAtMs;

		/** Whether the connection of the waiting call for changes is unresponsive. */
		private boolean deaf;

		/** Whether the kept connection of the other calls is unresponsive. */
		private boolean keptIsDeaf;

		private boolean refusesNextRead;

		private final List<Long> writtenAtMs = new ArrayList<>();

		Run(long seed) {
			this.seed = seed;
			this.random = new Random(seed);
			this.hasPeer = this.random.nextInt(3) > 0;
			this.follower = new StoreFollower(this, this, () -> this.nowMs, () -> this.nowMs,
					new FollowerOptions(WAIT_MS, () -> 350, SCHEDULE, 1, EXPIRY_MS, HOLD_REMOVALS_MS));
			this.follower.usePeers(this::askPeer);
		}

		void play() {
			write("servers/lasting", "v0");
			plan();
			while (this.nowMs < END_MS) {
				long delayMs = this.follower.followStep();
				// A call that fails wakes the confirmer.
				confirm();
				advanceTo(this.nowMs + Math.min(1_000, Math.max(1, delayMs)));
			}
		}

		// Outages, cut calls and writes at random times.
		private void plan() {
			long atMs = 12_000;
			while (atMs < END_MS - 20_000) {
				long outageMs = 1 + this.random.nextInt(8_000);
				long startMs = atMs;
				boolean cuts = this.random.nextBoolean();
				at(startMs, () -> beginOutage(outageMs, cuts));
				at(startMs + outageMs, () -> endOutage(outageMs));
				atMs += outageMs + 200 + this.random.nextInt(15_000);
			}
			for (int i = 0; i < 12; i++) {
				at(12_000 + this.random.nextInt(100_000), () -> this.cut = true);
			}
			for (int i = 0; i < 8; i++) {
				at(12_000 + this.random.nextInt(100_000), this::silenceConnections);
				at(12_000 + this.random.nextInt(100_000), () -> this.refusesNextRead = true);
			}
			for (int i = 0; i < 60; i++) {
				long writeMs = 12_000 + this.random.nextInt(100_000);
				String key = "servers/k" + this.random.nextInt(4);
				boolean removal = this.random.nextInt(3) == 0;
				at(writeMs, () -> write(key, (removal) ? null : "v" + ++this.writes));
			}
		}

		private void at(long atMs, Runnable action) {
			int index = 0;
			while (index < this.dueMs.size() && this.dueMs.get(index) <= atMs) {
				index++;
			}
			this.dueMs.add(index, atMs);
			this.dueActions.add(index, action);
		}

		private void silenceConnections() {
			this.disturbedAtMs = this.nowMs;
			this.deaf = true;
			this.keptIsDeaf = true;
		}

		private void beginOutage(long outageMs, boolean cuts) {
			this.outageFromMs = this.nowMs;
			this.outageToMs = this.nowMs + outageMs;
			this.cutsWaitingCalls = cuts;
			this.cut |= cuts;
		}

		// The entry of a living server expires, and its owner writes it again.
		private void endOutage(long outageMs) {
			this.disturbedAtMs = this.nowMs;
			if (outageMs >= EXPIRY_MS) {
				write("servers/lasting", null);
				at(this.nowMs + this.random.nextLong(REWRITE_MS), () -> write("servers/lasting", "v" + ++this.writes));
			}
		}

		private boolean isAway() {
			return this.nowMs >= this.outageFromMs && this.nowMs < this.outageToMs;
		}

		private void write(String key, String value) {
			StoreChange change = new StoreChange(key, value, version(this.history.size() + 1));
			this.history.add(change);
			if (value != null) {
				this.items.put(key, change);
			}
			else {
				this.items.remove(key);
			}
			this.latestChanges.put(key, change);
			this.writtenAtMs.add(this.nowMs);
			if (!key.equals("servers/lasting") && !isAway() && this.nowMs >= this.disturbedAtMs + STABLE_MS) {
				long disturbedBeforeMs = this.disturbedAtMs;
				at(this.nowMs + APPLY_MS, () -> check(change, disturbedBeforeMs));
			}
		}

		private static StoreVersion version(long revision) {
			return new StoreVersion(1, revision);
		}

		private void advanceTo(long targetMs) {
			while (this.nowMs < targetMs) {
				long stepMs = Math.min(targetMs, Math.max(this.nowMs, this.confirmAtMs));
				stepMs = (this.dueMs.isEmpty()) ? stepMs : Math.min(stepMs, this.dueMs.getFirst());
				this.nowMs = Math.max(this.nowMs, stepMs);
				runDue();
				if (this.nowMs >= this.confirmAtMs) {
					confirm();
				}
			}
		}

		private void runDue() {
			while (!this.dueMs.isEmpty() && this.dueMs.getFirst() <= this.nowMs) {
				this.dueMs.removeFirst();
				this.dueActions.removeFirst().run();
			}
		}

		// A disturbance since the write excuses it.
		private void check(StoreChange change, long disturbedBeforeMs) {
			if (!isAway() && this.disturbedAtMs == disturbedBeforeMs
					&& this.latestChanges.get(change.key()) == change) {
				assertWithMessage("seed %s at %s ms, key %s", this.seed, this.nowMs, change.key())
					.that(this.copy.get(change.key()))
					.isEqualTo(change.value());
			}
		}

		private void confirm() {
			this.confirmAtMs = Long.MAX_VALUE;
			long delayMs = this.follower.confirmStep();
			this.confirmAtMs = this.nowMs + Math.min(1_000, Math.max(1, delayMs));
		}

		private Optional<PeerConfirmation> askPeer() {
			long ageMs = this.random.nextLong(SCHEDULE.maxReadAgeMs());
			long readAtMs = this.nowMs - ageMs;
			boolean answered = readAtMs < this.outageFromMs || readAtMs >= this.outageToMs;
			if (!this.hasPeer || !answered || readAtMs < this.outageToMs) {
				return Optional.empty();
			}
			long revision = this.writtenAtMs.stream().filter((writtenMs) -> writtenMs < readAtMs).count();
			return Optional.of(new PeerConfirmation(version(revision), ageMs));
		}

		@Override
		public StoreResult<StoreChanges> read(String prefix) {
			this.nowMs++;
			return (isAway()) ? new StoreResult.Unavailable<>("away")
					: new StoreResult.Ok<>(new StoreChanges(List.copyOf(this.items.values()), storeVersion()));
		}

		private StoreVersion storeVersion() {
			return version(this.history.size());
		}

		@Override
		public StoreResult<StoreChanges> changes(String prefix, StoreVersion after, long waitMs) {
			if (isAway()) {
				this.nowMs++;
				return new StoreResult.Unavailable<>("away");
			}
			this.cut = false;
			this.deaf = false;
			long endMs = this.nowMs + waitMs;
			while (this.nowMs < endMs && (this.deaf || this.history.size() == after.revision())) {
				advanceTo(Math.min(endMs,
						(this.dueMs.isEmpty()) ? endMs : Math.max(this.nowMs + 1, this.dueMs.getFirst())));
				if (this.cut) {
					return new StoreResult.Unavailable<>("connection closed");
				}
			}
			if (this.deaf) {
				advanceTo(endMs + TIMEOUT_MS);
				return new StoreResult.Unavailable<>("time-out");
			}
			return new StoreResult.Ok<>(changesAfter(after));
		}

		@Override
		public StoreResult<StoreChanges> changesNow(String prefix, StoreVersion after) {
			this.nowMs++;
			return (isAway()) ? new StoreResult.Unavailable<>("away") : new StoreResult.Ok<>(changesAfter(after));
		}

		private StoreChanges changesAfter(StoreVersion after) {
			return new StoreChanges(List.copyOf(this.history.subList((int) after.revision(), this.history.size())),
					storeVersion());
		}

		@Override
		public void cancelChanges() {
			this.cut = true;
		}

		@Override
		public StoreResult<StoreVersion> version() {
			if (this.keptIsDeaf) {
				this.keptIsDeaf = false;
				this.nowMs += TIMEOUT_MS;
				return new StoreResult.Unavailable<>("time-out");
			}
			if (this.refusesNextRead) {
				this.refusesNextRead = false;
				return new StoreResult.Unavailable<>("status 429");
			}
			return (isAway()) ? new StoreResult.Unavailable<>("away") : new StoreResult.Ok<>(storeVersion());
		}

		@Override
		public void changed(Map<String, String> values) {
			this.copy = values;
			if (this.nowMs > 12_000) {
				assertWithMessage("seed %s at %s ms", this.seed, this.nowMs).that(values)
					.containsKey("servers/lasting");
			}
		}

		@Override
		public void confirmed(long monotonicMs, long wallMs) {
		}

		@Override
		public void callFailed(String reason) {
		}

		@Override
		public void watchStalled(StoreVersion before, StoreVersion newest) {
		}

		@Override
		public void storeUnavailable(String reason) {
		}

		@Override
		public void eraChanged(StoreVersion before, StoreVersion after) {
		}

		@Override
		public void storeAvailable(long outageMs, long heldMs) {
		}

	}

}
