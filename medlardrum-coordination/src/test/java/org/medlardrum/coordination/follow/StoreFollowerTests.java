package org.medlardrum.coordination.follow;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;
import org.medlardrum.coordination.ChangeFeed;
import org.medlardrum.coordination.StoreChange;
import org.medlardrum.coordination.StoreChanges;
import org.medlardrum.coordination.StoreResult;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against confirmations that are later than the truth, and against servers that
 * are dropped because their leases ran out while the store was away.
 */
class StoreFollowerTests {

	private final AtomicLong nowMs = new AtomicLong(10_000);

	private final Deque<Answer> answers = new ArrayDeque<>();

	private final Deque<StoreResult<Long>> revisions = new ArrayDeque<>();

	private final List<String> calls = new ArrayList<>();

	private long confirmTookMs;

	private final Recorder recorder = new Recorder();

	private final StoreFollower follower = new StoreFollower(new ScriptedFeed(), this.recorder, this.nowMs::get,
			() -> this.nowMs.get() + 1_000_000, new FollowerOptions(10_000, 350, 1_800, 1, 2_200));

	private void next(long tookMs, StoreResult<StoreChanges> result) {
		this.answers.add(new Answer(tookMs, result));
		this.follower.followStep();
	}

	private void confirm(long tookMs, StoreResult<Long> result) {
		this.revisions.add(result);
		this.confirmTookMs = tookMs;
		this.follower.confirmStep();
	}

	private static StoreResult<StoreChanges> ok(long revision, StoreChange... changes) {
		return new StoreResult.Ok<>(new StoreChanges(List.of(changes), revision));
	}

	private static StoreChange put(String key, String value) {
		return new StoreChange(key, value, 1);
	}

	private static StoreChange removed(String key) {
		return new StoreChange(key, null, 6);
	}

	@Test
	void readIsConfirmedAtItsStart() {
		next(500, ok(5, put("a", "1")));
		assertThat(this.recorder.values).containsExactly("a", "1");
		assertThat(this.recorder.confirmedMs).isEqualTo(10_000);
	}

	@Test
	void quietWatchConfirmsNothing() {
		next(1, ok(5));
		next(10_000, ok(5));
		assertThat(this.recorder.confirmedMs).isEqualTo(10_000);
	}

	@Test
	void sameRevisionConfirmsTheCopyAtTheStartOfTheQuestion() {
		next(1, ok(5));
		this.nowMs.set(12_000);
		confirm(700, new StoreResult.Ok<>(5L));
		assertThat(this.recorder.confirmedMs).isEqualTo(12_000);
	}

	@Test
	void changeThatTheWatchDoesNotBringIsRead() {
		next(1, ok(5, put("a", "1")));
		this.nowMs.set(12_000);
		this.answers.add(new Answer(1, ok(7, new StoreChange("b", "2", 7))));
		confirm(1, new StoreResult.Ok<>(7L));
		assertThat(this.recorder.values).containsExactly("b", "2");
		// The watch brings what the read has made old.
		next(1, ok(7, new StoreChange("a", "0", 6)));
		assertThat(this.recorder.values).containsExactly("b", "2");
	}

	@Test
	void lostHistoryIsReadAgain() {
		next(1, ok(5, put("a", "1"), put("b", "1")));
		next(1, new StoreResult.NotFound<>());
		next(1, ok(9, put("b", "2")));
		assertThat(this.recorder.values).containsExactly("b", "2");
		assertThat(this.calls).containsExactly("read", "changes after 5", "read").inOrder();
	}

	@Test
	void entriesThatLapsedWhileTheStoreWasAwayMayComeBack() {
		next(1, ok(5, put("servers/a", "1"), put("servers/b", "1")));
		next(1, new StoreResult.Unavailable<>("down"));
		next(1, ok(7, removed("servers/a"), removed("servers/b")));
		assertThat(this.recorder.values).hasSize(2);
		next(1_000, ok(8, new StoreChange("servers/a", "2", 8)));
		this.nowMs.addAndGet(2_000);
		confirm(1, new StoreResult.Ok<>(8L));
		assertThat(this.recorder.values).containsExactly("servers/a", "2");
		assertThat(this.recorder.events).containsExactly("lost", "regained").inOrder();
	}

	@Test
	void removalWithoutAnOutageHoldsAtOnce() {
		next(1, ok(5, put("servers/a", "1")));
		next(1, ok(6, removed("servers/a")));
		assertThat(this.recorder.values).isEmpty();
	}

	private record Answer(long tookMs, StoreResult<StoreChanges> result) {
	}

	private final class ScriptedFeed implements ChangeFeed {

		@Override
		public StoreResult<StoreChanges> read(String prefix) {
			StoreFollowerTests.this.calls.add("read");
			return answer();
		}

		@Override
		public StoreResult<StoreChanges> changes(String prefix, long afterRevision, long waitMs) {
			StoreFollowerTests.this.calls.add("changes after " + afterRevision);
			return answer();
		}

		@Override
		public StoreResult<Long> revision() {
			StoreFollowerTests.this.nowMs.addAndGet(StoreFollowerTests.this.confirmTookMs);
			return StoreFollowerTests.this.revisions.remove();
		}

		private StoreResult<StoreChanges> answer() {
			Answer answer = StoreFollowerTests.this.answers.remove();
			StoreFollowerTests.this.nowMs.addAndGet(answer.tookMs());
			return answer.result();
		}

	}

	private static final class Recorder implements StoreListener {

		private final List<String> events = new ArrayList<>();

		private Map<String, String> values = Map.of();

		private long confirmedMs;

		@Override
		public void changed(Map<String, String> changed) {
			this.values = changed;
		}

		@Override
		public void confirmed(long steadyMs, long wallMs) {
			assertThat(wallMs).isEqualTo(steadyMs + 1_000_000);
			this.confirmedMs = steadyMs;
		}

		@Override
		public void storeUnavailable(String reason) {
			this.events.add("lost");
		}

		@Override
		public void storeAvailable(long awayMs) {
			this.events.add("regained");
		}

	}

}
