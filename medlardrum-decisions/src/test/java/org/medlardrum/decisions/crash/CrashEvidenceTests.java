package org.medlardrum.decisions.crash;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.decisions.crash.Evidence.State;
import org.medlardrum.state.routing.ServerStart;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a deadly part of a prompt that is never found because no two requests
 * with it are alike, against verdicts on the sound parts beside it, and against hosts
 * that judge differently.
 */
class CrashEvidenceTests {

	private static final long RETENTION_MS = 60_000;

	private static final Subject COMMON = Subject.promptPart("common");

	private static final Subject DEADLY = Subject.promptPart("deadly");

	private static final Subject SOUND = Subject.promptPart("sound");

	private final CrashEvidence evidence = new CrashEvidence(RETENTION_MS);

	private static ServerStart start(String server) {
		return new ServerStart(server, 1);
	}

	private static List<Subject> request(String fingerprint, Subject... parts) {
		List<Subject> subjects = new ArrayList<>(List.of(parts));
		subjects.add(Subject.request(fingerprint));
		return subjects;
	}

	private boolean isConvicted(Subject subject) {
		return this.evidence.verdict(Set.of(subject), 1_000) instanceof Verdict.Convicted;
	}

	private boolean isSuspected(Subject subject) {
		return this.evidence.verdict(Set.of(subject), 1_000) instanceof Verdict.Suspected;
	}

	@Test
	void partIsConvictedAtItsSecondCrashWhateverElseTheRequestsHold() {
		this.evidence.recordBegun(List.of(COMMON), 0);
		this.evidence.recordCrash(start("e1"), request("r1", COMMON, DEADLY), 100);
		assertThat(isSuspected(DEADLY)).isTrue();
		assertThat(isSuspected(COMMON)).isFalse();
		this.evidence.recordCrash(start("e2"), request("r2", COMMON, DEADLY), 200);
		assertThat(isConvicted(DEADLY)).isTrue();
		assertThat(isConvicted(COMMON)).isFalse();
		assertThat(isSuspected(COMMON)).isFalse();
	}

	/**
	 * At the start of the traffic nothing has been answered yet.
	 */
	@Test
	void partThatAllRequestsShareIsNotConvictedBesideOneThatFewShare() {
		this.evidence.recordCrash(start("e1"), request("r1", COMMON, DEADLY), 100);
		this.evidence.recordCrash(start("e2"), request("r2", COMMON, DEADLY), 200);
		this.evidence.recordCrash(start("e3"), request("r3", COMMON, DEADLY), 300);
		assertThat(isConvicted(DEADLY)).isTrue();
		assertThat(isConvicted(COMMON)).isFalse();
	}

	@Test
	void deadlyPartIsFoundBeforeLaterPartsThatDiffer() {
		for (int i = 1; i <= 3; i++) {
			this.evidence.recordCrash(start("e" + i), request("r" + i, DEADLY, Subject.promptPart("other-" + i)),
					100 * i);
			assertThat(isSuspected(DEADLY)).isEqualTo(i < 3);
		}
		assertThat(isConvicted(DEADLY)).isTrue();
		assertThat(isConvicted(Subject.promptPart("other-1"))).isFalse();
		assertThat(isSuspected(Subject.promptPart("other-1"))).isFalse();
	}

	/**
	 * The requests of a crashed batch move on together.
	 */
	@Test
	void soundPartOfACrashedBatchIsClearedByAnAnswerAndLeavesTheDeadlyOneAlone() {
		for (int i = 1; i <= 2; i++) {
			this.evidence.recordCrash(start("e" + i), request("r1", DEADLY), 100 * i);
			this.evidence.recordCrash(start("e" + i), request("r2", SOUND), 100 * i);
		}
		assertThat(isConvicted(DEADLY)).isFalse();
		assertThat(isConvicted(SOUND)).isFalse();
		this.evidence.recordBegun(request("r3", SOUND), 300);
		assertThat(isConvicted(DEADLY)).isTrue();
		assertThat(isSuspected(SOUND)).isFalse();
		assertThat(this.evidence.verdict(request("r2", SOUND), 1_000)).isInstanceOf(Verdict.Clear.class);
	}

	@Test
	void requestsAreNotBlamedForCrashesThatAPartExplains() {
		this.evidence.recordCrash(start("e1"), request("r1", DEADLY), 100);
		this.evidence.recordCrash(start("e1"), request("r2"), 100);
		this.evidence.recordCrash(start("e2"), request("r1", DEADLY), 200);
		this.evidence.recordCrash(start("e2"), request("r2"), 200);
		assertThat(isConvicted(DEADLY)).isTrue();
		assertThat(isConvicted(Subject.request("r2"))).isFalse();
	}

	@Test
	void partThatTurnsDeadlyAfterItWasAnsweredIsConvicted() {
		this.evidence.recordBegun(List.of(COMMON, DEADLY), 0);
		this.evidence.recordCrash(start("e1"), request("r1", COMMON, DEADLY), 100);
		assertThat(isSuspected(DEADLY)).isFalse();
		this.evidence.recordBegun(List.of(COMMON), 150);
		this.evidence.recordCrash(start("e2"), request("r2", COMMON, DEADLY), 200);
		assertThat(isConvicted(DEADLY)).isTrue();
		assertThat(isConvicted(COMMON)).isFalse();
	}

	@Test
	void oneCrashCountsOnceHoweverManyHostsReportIt() {
		for (int i = 0; i < 5; i++) {
			this.evidence.merge(new Evidence(start("e1"), DEADLY, 1, State.SUSPECT, 0), 100 + i);
			this.evidence.recordCrash(start("e1"), request("r" + i, COMMON, DEADLY), 100 + i);
		}
		assertThat(isConvicted(DEADLY)).isFalse();
	}

	/**
	 * Guards against taking the crashes of a server that starts again under its
	 * identifier for one, and against counting one crash twice because a host of an
	 * earlier build names no start.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 2, true", "1, 1, false", "0, 1, false", "1, 0, false", "0, 0, false" })
	void crashesOfAServerAreToldApartByItsStarts(long firstStart, long secondStart, boolean convicted) {
		this.evidence.recordCrash(new ServerStart("e1", firstStart), request("r1", DEADLY), 100);
		this.evidence.recordCrash(new ServerStart("e1", secondStart), request("r2", DEADLY), 200);
		assertThat(isConvicted(DEADLY)).isEqualTo(convicted);
		assertThat(isSuspected(DEADLY)).isEqualTo(!convicted);
	}

	@Test
	void evidenceExpiresAtTheSameTimeOnAllHosts() {
		this.evidence.merge(new Evidence(start("e1"), DEADLY, 1, State.SUSPECT, RETENTION_MS - 500), 0);
		this.evidence.merge(new Evidence(start("e2"), DEADLY, 1, State.SUSPECT, RETENTION_MS - 400), 0);
		assertThat(this.evidence.verdict(Set.of(DEADLY), 300)).isEqualTo(new Verdict.Convicted(DEADLY, 500));
		assertThat(this.evidence.verdict(Set.of(DEADLY), 450)).isInstanceOf(Verdict.Suspected.class);
		assertThat(this.evidence.verdict(Set.of(DEADLY), 500)).isEqualTo(new Verdict.Clear());
		assertThat(this.evidence.isEmpty()).isTrue();
	}

	@ParameterizedTest
	@ValueSource(longs = { 0, -1 })
	void retentionMustBePositive(long retentionMs) {
		String error = "";
		try {
			new CrashEvidence(retentionMs);
		}
		catch (IllegalArgumentException ex) {
			error = ex.getMessage();
		}
		assertThat(error).contains(Long.toString(retentionMs));
	}

	@Property(tries = 200)
	void hostsJudgeAlikeInWhateverOrderTheyHear(@ForAll long seed) {
		Random random = new Random(seed);
		List<Evidence> told = new ArrayList<>();
		for (int i = 0; i < 24; i++) {
			int part = random.nextInt(4);
			told.add(new Evidence(new ServerStart("e" + random.nextInt(2), random.nextInt(3)),
					Subject.promptPart("p" + part), part, State.values()[random.nextInt(3)], 0));
		}
		CrashEvidence one = new CrashEvidence(RETENTION_MS);
		CrashEvidence other = new CrashEvidence(RETENTION_MS);
		told.forEach((entry) -> one.merge(entry, 0));
		Collections.shuffle(told, random);
		told.forEach((entry) -> other.merge(entry, 0));
		for (int part = 0; part < 4; part++) {
			Set<Subject> subject = Set.of(Subject.promptPart("p" + part));
			assertThat(one.verdict(subject, 1)).isEqualTo(other.verdict(subject, 1));
		}
	}

}
