package org.medlardrum.coordination.follow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.medlardrum.coordination.ChangeFeed;
import org.medlardrum.coordination.StoreChange;
import org.medlardrum.coordination.StoreChanges;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.StoreVersion;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against a copy that is confirmed although it is not that of the store, with a
 * store that is restored from older copies at any step, also while a call for changes or
 * a read of all keys is in progress. Runs more seeds with {@code -Drestore.seeds=1000}.
 */
class RestoredStoreModelTests {

	private static final int DEFAULT_SEEDS = 60;

	private static final int STEPS = 400;

	private static final int KEYS = 5;

	private static final long HOLD_REMOVALS_MS = 2_200;

	static LongStream seeds() {
		return LongStream.rangeClosed(1, Integer.getInteger("restore.seeds", DEFAULT_SEEDS));
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void confirmedCopyIsThatOfTheStore(long seed) {
		new Run(seed).play();
	}

	/** One random run. The store, its writers and the follower share one thread. */
	private static final class Run implements ChangeFeed, StoreListener {

		private final long seed;

		private final Random random;

		private final List<StoreChange> history = new ArrayList<>();

		private final TreeMap<String, StoreChange> items = new TreeMap<>();

		private final List<Integer> copies = new ArrayList<>(List.of(0));

		private final StoreFollower follower;

		private long nowMs = 10_000;

		private long era = 1;

		private long writes;

		private long removalsHeldUntilMs;

		private boolean inCall;

		/** Whether the store went on during a call of the current step. */
		private boolean elapsed;

		private Map<String, String> copy = Map.of();

		Run(long seed) {
			this.seed = seed;
			this.random = new Random(seed);
			this.follower = new StoreFollower(this, this, () -> this.nowMs, () -> this.nowMs,
					new FollowerOptions(10_000, 350, 1_800, 1, HOLD_REMOVALS_MS));
		}

		void play() {
			for (int step = 0; step < STEPS; step++) {
				this.nowMs += this.random.nextInt(400);
				this.elapsed = false;
				switch (this.random.nextInt(8)) {
					case 0, 1 -> write();
					case 2 -> this.copies.add(this.history.size());
					case 3 -> restoreSometimes();
					case 4, 5 -> this.follower.confirmStep();
					default -> this.follower.followStep();
				}
			}
		}

		private void write() {
			String key = "k" + this.random.nextInt(KEYS);
			String value = (this.random.nextInt(4) > 0) ? "v" + ++this.writes : null;
			apply(new StoreChange(key, value, new StoreVersion(this.era, this.history.size() + 1)));
		}

		private void apply(StoreChange change) {
			this.history.add(change);
			if (change.value() != null) {
				this.items.put(change.key(), change);
			}
			else {
				this.items.remove(change.key());
			}
		}

		private void restoreSometimes() {
			if (this.random.nextInt(4) > 0) {
				return;
			}
			int length = this.copies.get(this.random.nextInt(this.copies.size()));
			List<StoreChange> kept = new ArrayList<>(this.history.subList(0, length));
			this.era++;
			this.history.clear();
			this.items.clear();
			kept.forEach((change) -> apply(new StoreChange(change.key(), change.value(),
					new StoreVersion(this.era, change.version().revision()))));
			this.copies.removeIf((copied) -> copied > length);
		}

		// The store goes on, and another thread confirms, before a response arrives.
		private void elapse() {
			if (this.inCall || this.random.nextInt(3) > 0) {
				return;
			}
			this.inCall = true;
			this.elapsed = true;
			write();
			restoreSometimes();
			for (int i = this.random.nextInt(6); i > 0; i--) {
				write();
			}
			this.follower.confirmStep();
			this.inCall = false;
		}

		private StoreVersion storeVersion() {
			return new StoreVersion(this.era, this.history.size());
		}

		@Override
		public StoreResult<StoreChanges> read(String prefix) {
			StoreChanges all = new StoreChanges(List.copyOf(this.items.values()), storeVersion());
			elapse();
			return new StoreResult.Ok<>(all);
		}

		@Override
		public StoreResult<StoreChanges> changes(String prefix, StoreVersion after, long waitMs) {
			if (after.revision() > this.history.size()) {
				return new StoreResult.NotFound<>();
			}
			StoreChanges changes = new StoreChanges(
					List.copyOf(this.history.subList((int) after.revision(), this.history.size())), storeVersion());
			elapse();
			return (this.random.nextInt(5) > 0) ? new StoreResult.Ok<>(changes) : new StoreResult.Unavailable<>("lost");
		}

		@Override
		public StoreResult<StoreChanges> changesNow(String prefix, StoreVersion after) {
			return changes(prefix, after, 0);
		}

		@Override
		public void cancelChanges() {
		}

		@Override
		public StoreResult<StoreVersion> version() {
			StoreVersion version = storeVersion();
			return (this.random.nextInt(5) > 0) ? new StoreResult.Ok<>(version) : new StoreResult.Unavailable<>("lost");
		}

		@Override
		public void changed(Map<String, String> values) {
			this.copy = values;
		}

		@Override
		public void confirmed(long monotonicMs, long wallMs) {
			if (this.inCall || this.elapsed) {
				// The store has gone on since the response; the next confirmation counts.
				return;
			}
			Map<String, String> expected = new HashMap<>();
			this.items.forEach((key, change) -> expected.put(key, change.value()));
			Map<String, String> actual = new HashMap<>(this.copy);
			if (this.nowMs < this.removalsHeldUntilMs) {
				actual.keySet().retainAll(expected.keySet());
			}
			assertWithMessage("seed " + this.seed + " at " + this.nowMs + " ms, era " + this.era).that(actual)
				.containsExactlyEntriesIn(expected);
		}

		@Override
		public void eraChanged(StoreVersion before, StoreVersion after) {
			this.removalsHeldUntilMs = this.nowMs + HOLD_REMOVALS_MS;
		}

		@Override
		public void callFailed(String reason) {
		}

		@Override
		public void watchStalled(StoreVersion before, StoreVersion newest) {
		}

		@Override
		public void storeUnavailable(String reason) {
			// Losses of calls are random.
		}

		@Override
		public void storeAvailable(long outageMs, long heldMs) {
			this.removalsHeldUntilMs = this.nowMs + HOLD_REMOVALS_MS;
		}

	}

}
