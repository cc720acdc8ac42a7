package org.medlardrum.coordination.follow;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.medlardrum.coordination.ChangeFeed;
import org.medlardrum.coordination.StoreChange;
import org.medlardrum.coordination.StoreChanges;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.StoreVersion;
import org.medlardrum.coordination.follow.PeerConfirmations.PeerConfirmation;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against confirming the copy for a time at which it may have been outdated, and
 * against removing servers whose leases expired while the store was unavailable.
 */
class StoreFollowerTests {

	private final AtomicLong nowMs = new AtomicLong(10_000);

	private final Deque<ScriptedResponse> responses = new ArrayDeque<>();

	/** Responses to calls for changes over a new connection, empty for failures. */
	private final Deque<StoreResult<StoreChanges>> immediateResponses = new ArrayDeque<>();

	private final Deque<StoreResult<StoreVersion>> versions = new ArrayDeque<>();

	private final List<String> calls = new ArrayList<>();

	private long confirmTookMs;

	/** What the confirmer does while the next call for changes is in progress. */
	private Runnable duringNextCall = () -> {
	};

	private final Recorder recorder = new Recorder();

	private final StoreFollower follower = new StoreFollower(new ScriptedFeed(), this.recorder, this.nowMs::get,
			() -> this.nowMs.get() + 1_000_000, new FollowerOptions(10_000, 350, 1_800, 1, 2_200));

	private void follow(long tookMs, StoreResult<StoreChanges> result) {
		this.responses.add(new ScriptedResponse(tookMs, result));
		this.follower.followStep();
	}

	private void confirm(long tookMs, StoreResult<StoreVersion> result) {
		this.versions.add(result);
		this.confirmTookMs = tookMs;
		this.follower.confirmStep();
	}

	private static StoreResult<StoreChanges> ok(long revision, StoreChange... changes) {
		return new StoreResult.Ok<>(new StoreChanges(List.of(changes), version(revision)));
	}

	private static StoreVersion version(long revision) {
		return new StoreVersion(1, revision);
	}

	private static StoreChange put(String key, String value) {
		return new StoreChange(key, value, version(1));
	}

	private static StoreChange removed(String key) {
		return new StoreChange(key, null, version(6));
	}

	@Test
	void readIsConfirmedAtItsStart() {
		follow(500, ok(5, put("a", "1")));
		assertThat(this.recorder.values).containsExactly("a", "1");
		assertThat(this.recorder.confirmedMs).isEqualTo(10_000);
	}

	@Test
	void listenerThatFailsDoesNotEndTheReadOrTheConfirmation() {
		this.recorder.failure = new IllegalArgumentException("odd value");
		follow(1, ok(5, put("a", "1")));
		assertThat(this.recorder.confirmedMs).isEqualTo(10_000);
		this.recorder.failure = new StackOverflowError();
		follow(1, ok(7, new StoreChange("a", "2", version(7))));
		this.recorder.failure = null;
		follow(1, ok(8, new StoreChange("b", "3", version(8))));
		assertThat(this.recorder.values).containsExactly("a", "2", "b", "3");
		assertThat(this.calls.stream().filter((call) -> call.startsWith("read")).toList()).hasSize(1);
	}

	/**
	 * The holder of the order lease batches changes more briefly while layers are
	 * missing.
	 */
	@Test
	void batchDelayIsReadForEachBatch() {
		AtomicLong batchDelayMs = new AtomicLong(1_350);
		StoreFollower varying = new StoreFollower(new ScriptedFeed(), this.recorder, this.nowMs::get,
				() -> this.nowMs.get() + 1_000_000,
				new FollowerOptions(10_000, batchDelayMs::get, ConfirmationSchedule.every(1_800), 1, 0, 2_200));
		this.responses.add(new ScriptedResponse(1, ok(5)));
		varying.followStep();
		this.responses.add(new ScriptedResponse(1, ok(6, new StoreChange("a", "1", version(6)))));
		assertThat(varying.followStep()).isEqualTo(1_350);
		batchDelayMs.set(300);
		this.responses.add(new ScriptedResponse(1, ok(7, new StoreChange("a", "2", version(7)))));
		assertThat(varying.followStep()).isEqualTo(300);
	}

	@Test
	void watchWithoutChangesConfirmsNothing() {
		follow(1, ok(5));
		follow(10_000, ok(5));
		assertThat(this.recorder.confirmedMs).isEqualTo(10_000);
	}

	@Test
	void sameRevisionConfirmsTheCopyAtTheStartOfTheCall() {
		follow(1, ok(5));
		this.nowMs.set(12_000);
		confirm(700, new StoreResult.Ok<>(version(5)));
		assertThat(this.recorder.confirmedMs).isEqualTo(12_000);
	}

	@Test
	void changeThatTheWatchDoesNotDeliverIsRead() {
		follow(1, ok(5, put("a", "1")));
		this.nowMs.set(12_000);
		this.responses.add(new ScriptedResponse(1, ok(7, new StoreChange("b", "2", version(7)))));
		confirm(1, new StoreResult.Ok<>(version(7)));
		assertThat(this.recorder.values).containsExactly("b", "2");
		// The watch delivers a change that is older than the read.
		follow(1, ok(7, new StoreChange("a", "0", version(6))));
		assertThat(this.recorder.values).containsExactly("b", "2");
	}

	@Test
	void lostHistoryIsReadAgain() {
		follow(1, ok(5, put("a", "1"), put("b", "1")));
		follow(1, new StoreResult.NotFound<>());
		follow(1, ok(9, put("b", "2")));
		assertThat(this.recorder.values).containsExactly("b", "2");
		assertThat(this.calls).containsExactly("read", "changes after 5", "read").inOrder();
	}

	@Test
	void removalOfEntriesThatExpireDuringAnOutageIsHeldBack() {
		follow(1, ok(5, put("servers/a", "1"), put("servers/b", "1")));
		follow(1, new StoreResult.Unavailable<>("down"));
		confirm(900, new StoreResult.Unavailable<>("down"));
		this.nowMs.addAndGet(2_000);
		confirm(1, new StoreResult.Ok<>(version(5)));
		follow(1, ok(7, removed("servers/a"), removed("servers/b")));
		assertThat(this.recorder.values).hasSize(2);
		follow(1_000, ok(8, new StoreChange("servers/a", "2", version(8))));
		this.nowMs.addAndGet(2_000);
		confirm(1, new StoreResult.Ok<>(version(8)));
		assertThat(this.recorder.values).containsExactly("servers/a", "2");
		assertThat(this.recorder.events).containsExactly("call failed", "lost", "regained").inOrder();
	}

	/**
	 * Guards against a removal that is held back until the next confirmation after its
	 * time.
	 */
	@Test
	void removalThatIsHeldBackTakesEffectWhenItsTimeIsOver() {
		follow(1, ok(5, put("servers/a", "1")));
		confirm(1, new StoreResult.Unavailable<>("down"));
		this.nowMs.addAndGet(3_000);
		confirm(0, new StoreResult.Ok<>(version(5)));
		long regainedAtMs = this.nowMs.get();
		follow(1, ok(6, removed("servers/a")));
		this.nowMs.set(regainedAtMs + 1_800);
		this.versions.add(new StoreResult.Ok<>(version(6)));
		assertThat(this.follower.confirmStep()).isEqualTo(400);
		assertThat(this.recorder.values).hasSize(1);
		this.nowMs.set(regainedAtMs + 2_200);
		confirm(0, new StoreResult.Ok<>(version(6)));
		assertThat(this.recorder.values).isEmpty();
		assertThat(this.follower.confirmStep()).isEqualTo(1_800);
	}

	/**
	 * Guards against removing an entry that its owner has written again since another
	 * host read the store.
	 */
	@Test
	void removalThatIsHeldBackDoesNotTakeEffectWithAnOlderReadOfAnotherHost() {
		follow(1, ok(5, put("servers/a", "1")));
		confirm(1, new StoreResult.Unavailable<>("down"));
		this.nowMs.addAndGet(3_000);
		confirm(0, new StoreResult.Ok<>(version(5)));
		follow(0, ok(6, removed("servers/a")));
		this.nowMs.addAndGet(2_200);
		this.follower.usePeers(() -> Optional.of(new PeerConfirmation(version(6), 300)));
		this.immediateResponses.add(ok(7, new StoreChange("servers/a", "2", version(7))));
		confirm(0, new StoreResult.Ok<>(version(7)));
		assertThat(this.recorder.values).containsExactly("servers/a", "2");
	}

	/**
	 * Guards against taking a call for changes that was cut for an outage of the store: a
	 * server that leaves soon after it would get requests until its removal is no longer
	 * held back.
	 */
	@ParameterizedTest
	@CsvSource({ "true", "false" })
	void removalSoonAfterACutCallTakesEffectAtOnce(boolean confirmedBefore) {
		follow(1, ok(5, put("servers/a", "1")));
		follow(500, new StoreResult.Unavailable<>("connection closed"));
		if (confirmedBefore) {
			confirm(4, new StoreResult.Ok<>(version(5)));
		}
		follow(500, ok(6, removed("servers/a")));
		assertThat(this.recorder.values).isEmpty();
		assertThat(this.recorder.events).containsExactly("call failed");
	}

	/**
	 * Guards against taking one read that fails, while the store answers the other hosts,
	 * for the end of an outage in which entries expire: a server that leaves soon after
	 * it would get requests until its removal is no longer held back. The last answer to
	 * this host is seconds old, because another host confirms the copy.
	 */
	@ParameterizedTest
	@CsvSource({ "4, 0, false", "900, 0, false", "900, 900, false", "900, 1399, false", "900, 1400, true",
			"4, 7000, true" })
	void removalAfterAReadThatFailedIsHeldBackOnlyIfEntriesMayHaveExpired(long failedAfterMs, long awayMs,
			boolean held) {
		StoreFollower confirmedByPeer = new StoreFollower(new ScriptedFeed(), this.recorder, this.nowMs::get,
				() -> this.nowMs.get() + 1_000_000,
				new FollowerOptions(10_000, () -> 350, ConfirmationSchedule.every(900), 1, 2_400, 2_200));
		this.responses.add(new ScriptedResponse(0, ok(5, put("servers/a", "1"))));
		confirmedByPeer.followStep();
		this.nowMs.addAndGet(6_000);
		confirmedByPeer.usePeers(() -> Optional.of(new PeerConfirmation(version(5), 0)));
		confirmedByPeer.confirmStep();
		this.responses.add(new ScriptedResponse(0, new StoreResult.Unavailable<>("time-out")));
		confirmedByPeer.followStep();
		this.versions.add(new StoreResult.Unavailable<>("time-out"));
		this.confirmTookMs = failedAfterMs;
		confirmedByPeer.confirmStep();
		this.nowMs.addAndGet(100 + awayMs);
		this.versions.add(new StoreResult.Ok<>(version(5)));
		this.confirmTookMs = 0;
		confirmedByPeer.confirmStep();
		this.responses.add(new ScriptedResponse(0, ok(6, removed("servers/a"))));
		confirmedByPeer.followStep();
		assertThat(this.recorder.values).hasSize((held) ? 1 : 0);
		assertThat(this.recorder.heldMs).isEqualTo((held) ? 2_200 : 0);
		assertThat(this.recorder.events).containsExactly("call failed", "lost", "regained").inOrder();
	}

	/** An outage must not cost the calls of both threads. */
	@Test
	void changesAreNotAskedForWhileTheConfirmationsFail() {
		follow(1, ok(5, put("a", "1")));
		follow(1, new StoreResult.Unavailable<>("down"));
		confirm(1, new StoreResult.Unavailable<>("down"));
		int callsBefore = this.calls.size();
		assertThat(this.follower.followStep()).isGreaterThan(0L);
		assertThat(this.calls).hasSize(callsBefore);
		this.nowMs.addAndGet(2_000);
		confirm(1, new StoreResult.Ok<>(version(5)));
		follow(1, ok(6, new StoreChange("a", "2", version(6))));
		assertThat(this.recorder.values).containsExactly("a", "2");
		assertThat(this.recorder.events).containsExactly("call failed", "lost", "regained").inOrder();
	}

	/**
	 * Guards against a follower that waits for a confirmation of its own while the other
	 * host confirms the copy: it never asks for changes again.
	 */
	@ParameterizedTest
	@CsvSource({ "status 503", "time-out" })
	void answerToACallThatWaitedThroughAnOutageLetsTheFollowerGoOn(String reason) {
		follow(1, ok(5, put("a", "1")));
		this.follower.usePeers(() -> Optional.of(new PeerConfirmation(version(6), 0)));
		this.duringNextCall = () -> {
			this.follower.requestRead();
			confirm(1, new StoreResult.Unavailable<>(reason));
		};
		follow(2_000, ok(6, new StoreChange("a", "2", version(6))));
		this.nowMs.addAndGet(2_000);
		this.follower.confirmStep();
		follow(1, ok(7, new StoreChange("a", "3", version(7))));
		assertThat(this.recorder.values).containsExactly("a", "3");
	}

	@ParameterizedTest
	@CsvSource({ "5, 300, 11700", "4, 0, 12000" })
	void versionThatAnotherHostHasReadConfirmsTheCopyAtItsAge(long revision, long ageMs, long confirmedMs) {
		follow(1, ok(5, put("a", "1")));
		this.nowMs.set(12_000);
		this.follower.usePeers(() -> Optional.of(new PeerConfirmation(version(revision), ageMs)));
		this.follower.confirmStep();
		assertThat(this.recorder.confirmedMs).isEqualTo(confirmedMs);
		assertThat(this.follower.lastRead(Long.MAX_VALUE)).isEmpty();
	}

	/**
	 * Guards against an interval between confirmations that begins with the question: the
	 * age of the answer then adds to it, and a change takes effect after the sum of both.
	 */
	@ParameterizedTest
	@CsvSource({ "0", "300", "1350" })
	void ageOfAnotherHostsReadShortensTheTimeToTheNextConfirmation(long ageMs) {
		follow(1, ok(5, put("a", "1")));
		this.nowMs.set(12_000);
		this.follower.usePeers(() -> Optional.of(new PeerConfirmation(version(5), ageMs)));
		assertThat(this.follower.confirmStep()).isEqualTo(1_800 - ageMs);
	}

	/** A host with other settings may tell reads that are too old for the bound. */
	@Test
	void readOfAnotherHostThatIsTooOldConfirmsNothing() {
		follow(1, ok(5, put("a", "1")));
		this.nowMs.set(12_000);
		this.follower.usePeers(() -> Optional.of(new PeerConfirmation(version(5), 1_351)));
		confirm(0, new StoreResult.Ok<>(version(5)));
		assertThat(this.recorder.confirmedMs).isEqualTo(12_000);
	}

	/**
	 * Guards against a call for changes that goes on waiting on an unresponsive
	 * connection, so that each later change is learned from a confirmation only.
	 */
	@ParameterizedTest
	@CsvSource({ "true", "false" })
	void callForChangesThatHasStalledIsEndedOnceAChangeArrivesOverANewConnection(boolean confirmedByPeer) {
		follow(1, ok(5, put("a", "1")));
		this.nowMs.set(12_000);
		if (confirmedByPeer) {
			this.follower.usePeers(() -> Optional.of(new PeerConfirmation(version(6), 0)));
		}
		else {
			this.versions.add(new StoreResult.Ok<>(version(6)));
		}
		this.immediateResponses.add(ok(6, new StoreChange("a", "2", version(6))));
		this.duringNextCall = this.follower::confirmStep;
		follow(900, new StoreResult.Unavailable<>("connection closed"));
		assertThat(this.recorder.values).containsExactly("a", "2");
		assertThat(this.recorder.confirmedMs).isEqualTo(12_000);
		assertThat(this.calls).containsExactly("read", "changes after 5", "cancel").inOrder();
		assertThat(this.recorder.events).containsExactly("watch stalled");
	}

	/** The answer of the ended call may have been on its way. */
	@Test
	void lateAnswerOfACallThatWasEndedChangesNothing() {
		follow(1, ok(5, put("a", "1")));
		this.nowMs.set(12_000);
		this.follower.usePeers(() -> Optional.of(new PeerConfirmation(version(7), 0)));
		this.immediateResponses
			.add(ok(7, new StoreChange("a", "2", version(6)), new StoreChange("a", "3", version(7))));
		this.duringNextCall = this.follower::confirmStep;
		follow(1, ok(6, new StoreChange("a", "2", version(6))));
		assertThat(this.recorder.values).containsExactly("a", "3");
	}

	/** The answer does not count, and the store is read as without it. */
	@ParameterizedTest
	@CsvSource({ "1, 7", "0, 9", "0, 0" })
	void versionOfAnotherHostThatTheCopyLacksConfirmsNothing(long era, long revision) {
		follow(1, ok(5, put("a", "1")));
		this.nowMs.set(12_000);
		this.follower.usePeers(() -> (revision == 0) ? Optional.empty()
				: Optional.of(new PeerConfirmation(new StoreVersion(era, revision), 0)));
		confirm(700, new StoreResult.Ok<>(version(5)));
		assertThat(this.versions).isEmpty();
		assertThat(this.recorder.confirmedMs).isEqualTo(12_000);
		assertThat(this.follower.lastRead(700)).isEqualTo(Optional.of(new PeerConfirmation(version(5), 700)));
		assertThat(this.follower.lastRead(699)).isEmpty();
	}

	@Test
	void removalWithoutAnOutageTakesEffectAtOnce() {
		follow(1, ok(5, put("servers/a", "1")));
		follow(1, ok(6, removed("servers/a")));
		assertThat(this.recorder.values).isEmpty();
	}

	@Test
	void lowerVersionOfALaterEraDoesNotConfirmTheCopy() {
		follow(1, ok(50, put("a", "1")));
		this.nowMs.set(12_000);
		this.responses.add(new ScriptedResponse(1, restored(41, put("a", "0"), put("b", "1"))));
		confirm(1, new StoreResult.Ok<>(new StoreVersion(2, 40)));
		assertThat(this.calls).containsExactly("read", "read").inOrder();
		assertThat(this.recorder.events).containsExactly("era 2");
		assertThat(this.recorder.values).containsExactly("a", "0", "b", "1");
	}

	@Test
	void changesOfALaterEraAreReadAsAWhole() {
		follow(1, ok(50, put("a", "1")));
		// The new history has passed revision 50 before the call for changes reached it.
		follow(1, restored(61, new StoreChange("b", "1", new StoreVersion(2, 61))));
		follow(1, restored(62, put("a", "2"), put("b", "1")));
		assertThat(this.recorder.values).containsExactly("a", "2", "b", "1");
		assertThat(this.calls).containsExactly("read", "changes after 50", "read").inOrder();
	}

	@Test
	void lateAnswerOfAnEarlierEraChangesNothing() {
		follow(1, restored(40, put("a", "2")));
		follow(1, ok(70, new StoreChange("a", "1", version(70))));
		assertThat(this.recorder.values).containsExactly("a", "2");
		this.nowMs.set(20_000);
		confirm(1, new StoreResult.Ok<>(version(70)));
		assertThat(this.recorder.confirmedMs).isEqualTo(10_000);
	}

	@Test
	void entryThatTheRestoredStoreLacksIsHeldBackUntilItsOwnerCanWriteItAgain() {
		follow(1, ok(50, put("servers/a", "1"), put("servers/b", "1")));
		follow(1, new StoreResult.NotFound<>());
		follow(1, restored(40, put("servers/b", "1")));
		assertThat(this.recorder.values.keySet()).containsExactly("servers/a", "servers/b");
		this.nowMs.addAndGet(3_000);
		confirm(1, new StoreResult.Ok<>(new StoreVersion(2, 40)));
		assertThat(this.recorder.values.keySet()).containsExactly("servers/b");
	}

	private static StoreResult<StoreChanges> restored(long revision, StoreChange... changes) {
		return new StoreResult.Ok<>(new StoreChanges(List.of(changes), new StoreVersion(2, revision)));
	}

	private record ScriptedResponse(long tookMs, StoreResult<StoreChanges> result) {
	}

	private final class ScriptedFeed implements ChangeFeed {

		@Override
		public StoreResult<StoreChanges> read(String prefix) {
			StoreFollowerTests.this.calls.add("read");
			return nextResponse();
		}

		@Override
		public StoreResult<StoreChanges> changes(String prefix, StoreVersion after, long waitMs) {
			StoreFollowerTests.this.calls.add("changes after " + after.revision());
			return nextResponse();
		}

		@Override
		public StoreResult<StoreChanges> changesNow(String prefix, StoreVersion after) {
			return StoreFollowerTests.this.immediateResponses.isEmpty() ? new StoreResult.Unavailable<>("no connection")
					: StoreFollowerTests.this.immediateResponses.remove();
		}

		@Override
		public void cancelChanges() {
			StoreFollowerTests.this.calls.add("cancel");
		}

		@Override
		public StoreResult<StoreVersion> version() {
			StoreFollowerTests.this.nowMs.addAndGet(StoreFollowerTests.this.confirmTookMs);
			return StoreFollowerTests.this.versions.remove();
		}

		private StoreResult<StoreChanges> nextResponse() {
			ScriptedResponse response = StoreFollowerTests.this.responses.remove();
			Runnable action = StoreFollowerTests.this.duringNextCall;
			StoreFollowerTests.this.duringNextCall = () -> {
			};
			action.run();
			StoreFollowerTests.this.nowMs.addAndGet(response.tookMs());
			return response.result();
		}

	}

	private static final class Recorder implements StoreListener {

		private final List<String> events = new ArrayList<>();

		private Map<String, String> values = Map.of();

		private long confirmedMs;

		private long heldMs;

		private Throwable failure;

		private void fail() {
			if (this.failure instanceof RuntimeException exception) {
				throw exception;
			}
			if (this.failure instanceof Error error) {
				throw error;
			}
		}

		@Override
		public void changed(Map<String, String> changed) {
			fail();
			this.values = changed;
		}

		@Override
		public void confirmed(long monotonicMs, long wallMs) {
			assertThat(wallMs).isEqualTo(monotonicMs + 1_000_000);
			this.confirmedMs = monotonicMs;
		}

		@Override
		public void callFailed(String reason) {
			this.events.add("call failed");
		}

		@Override
		public void watchStalled(StoreVersion before, StoreVersion newest) {
			this.events.add("watch stalled");
		}

		@Override
		public void storeUnavailable(String reason) {
			this.events.add("lost");
		}

		@Override
		public void eraChanged(StoreVersion before, StoreVersion after) {
			fail();
			if (before != null) {
				this.events.add("era " + after.era());
			}
		}

		@Override
		public void storeAvailable(long outageMs, long heldMs) {
			this.events.add("regained");
			this.heldMs = heldMs;
		}

	}

}
