package org.medlardrum.decisions.routing;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against every request waiting for the same unresponsive server, and against an
 * isolated zone losing its own servers through the suspicions of other zones.
 */
class ServerSuspicionsTests {

	private final ServerSuspicions suspicions = new ServerSuspicions();

	@Test
	void suspectFromItsOwnZoneIsSuspectEverywhere() {
		this.suspicions.suspect("a", "s1", "a", 1_000);
		assertThat(this.suspicions.isSuspect("b", "s1", "a", 500)).isTrue();
		assertThat(this.suspicions.isSuspect("b", "s2", "a", 500)).isFalse();
	}

	@Test
	void twoSuspectsOfAZoneMakeTheLinkSuspect() {
		this.suspicions.suspect("b", "s1", "a", 1_000);
		assertThat(this.suspicions.isSuspect("b", "s3", "a", 500)).isFalse();
		this.suspicions.suspect("b", "s2", "a", 1_000);
		assertThat(this.suspicions.isSuspect("b", "s3", "a", 500)).isTrue();
	}

	@Test
	void partitionedZoneKeepsItsOwnServers() {
		this.suspicions.suspect("b", "s1", "a", 1_000);
		this.suspicions.suspect("b", "s2", "a", 1_000);
		this.suspicions.suspect("c", "s1", "a", 1_000);
		assertThat(this.suspicions.isSuspect("a", "s1", "a", 500)).isFalse();
		assertThat(this.suspicions.isSuspect("a", "s3", "a", 500)).isFalse();
	}

	@Test
	void suspicionEndsWithTimeOrAResponse() {
		this.suspicions.suspect("a", "s1", "a", 1_000);
		assertThat(this.suspicions.isSuspect("a", "s1", "a", 1_000)).isFalse();
		this.suspicions.suspect("a", "s2", "a", 9_000);
		this.suspicions.clearSuspicion("a", "s2");
		assertThat(this.suspicions.isSuspect("a", "s2", "a", 2_000)).isFalse();
	}

	private static ServerSuspicions.Suspicion told(String server, long remainingMs) {
		return new ServerSuspicions.Suspicion("a", server, "a", remainingMs);
	}

	@Test
	void freshAnswerOutweighsTheSuspicionOfAnotherHost() {
		this.suspicions.recordAnswer("a", "s1", 1_000);
		this.suspicions.suspectTold("other", told("s1", 3_900), 1_100);
		assertThat(this.suspicions.isSuspect("a", "s1", "a", 1_100)).isFalse();
		this.suspicions.suspectTold("other", told("s1", 3_900), 2_000);
		assertThat(this.suspicions.isSuspect("a", "s1", "a", 2_000)).isTrue();
		this.suspicions.recordAnswer("a", "s1", 2_050);
		assertThat(this.suspicions.isSuspect("a", "s1", "a", 2_050)).isFalse();
	}

	@Test
	void answerDoesNotOutweighARefusal() {
		this.suspicions.suspectTold("other", told("s1", ServerSuspicions.REFUSED_SUSPICION_MS), 2_000);
		this.suspicions.recordAnswer("a", "s1", 2_100);
		assertThat(this.suspicions.isSuspect("a", "s1", "a", 2_100)).isTrue();
	}

	@Test
	void serverThatAnswersAnotherZoneIsSuspectFromItsOwnOnly() {
		this.suspicions.suspectTold("other", told("s1", 4_000), 2_000);
		this.suspicions.recordAnswer("b", "s1", 2_100);
		assertThat(this.suspicions.isSuspect("b", "s1", "a", 2_100)).isFalse();
		assertThat(this.suspicions.isSuspect("a", "s1", "a", 2_100)).isTrue();
	}

	@Test
	void suspicionsOfAHostAreForgotten() {
		this.suspicions.suspectTold("cut", told("s1", 4_000), 2_000);
		this.suspicions.suspectTold("sound", told("s2", 4_000), 2_000);
		this.suspicions.forget("cut");
		assertThat(this.suspicions.isSuspect("a", "s1", "a", 2_000)).isFalse();
		assertThat(this.suspicions.isSuspect("a", "s2", "a", 2_000)).isTrue();
	}

	@Test
	void silentServerThatGoesOnIsUsedAgain() {
		this.suspicions.suspectUnresponsive("a", "s1", "a", 1_000);
		assertThat(this.suspicions.isSuspect("a", "s1", "a", 1_500)).isTrue();
		this.suspicions.recordAnswer("a", "s1", 2_000);
		assertThat(this.suspicions.isSuspect("a", "s1", "a", 2_000)).isFalse();
	}

	/**
	 * Four engines of zone b are lost together. Hosts of zone a wait for two of them as
	 * the first engines of chains; hosts of zone b tell that they are gone. The other
	 * engines of zone b were unusable from zone a for 4 s.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void jointLossInAnotherZoneIsNoPartition(boolean discounted) {
		this.suspicions.setDiscountsJointLosses(discounted);
		this.suspicions.suspectUnresponsive("a", "b1", "b", 1_000);
		this.suspicions.suspectUnresponsive("a", "b2", "b", 1_050);
		for (String host : List.of("host-b1", "host-b2")) {
			for (String lost : List.of("b1", "b2", "b3", "b4")) {
				this.suspicions.suspectTold(host, new ServerSuspicions.Suspicion("b", lost, "b", 3_900), 1_100);
			}
		}
		assertThat(this.suspicions.isSuspect("a", "b3", "b", 1_100)).isTrue();
		int excluded = 0;
		for (int sound = 5; sound <= 22; sound++) {
			excluded += (this.suspicions.isSuspect("a", "b" + sound, "b", 1_200)) ? 1 : 0;
		}
		assertThat(excluded).isEqualTo((discounted) ? 0 : 18);
	}

	/** Servers that fail for the zone of their predecessor only are not heard of in b. */
	@Test
	void partitionIsRecognisedBesideAJointLoss() {
		this.suspicions.setDiscountsJointLosses(true);
		this.suspicions.suspectTold("host-b", new ServerSuspicions.Suspicion("b", "b1", "b", 3_900), 1_000);
		this.suspicions.suspectUnresponsive("a", "b1", "b", 1_000);
		this.suspicions.suspectUnresponsive("a", "b2", "b", 1_000);
		assertThat(this.suspicions.isSuspect("a", "b9", "b", 1_000)).isFalse();
		this.suspicions.suspectUnresponsive("a", "b3", "b", 1_000);
		assertThat(this.suspicions.isSuspect("a", "b9", "b", 1_000)).isTrue();
		assertThat(this.suspicions.isSuspect("c", "b9", "b", 1_000)).isFalse();
	}

	/**
	 * The suspicions of the hosts of the other zone come a digest later than the loss.
	 */
	@ParameterizedTest
	@CsvSource({ "a, b, 1_300, false", "a, b, 1_301, true", "c, b, 1_100, true", "a, c, 1_100, true" })
	void zoneThatHasAnsweredLatelyIsNotPartitioned(String fromZone, String answeringZone, String atMs,
			boolean partitioned) {
		this.suspicions.setDiscountsJointLosses(true);
		this.suspicions.suspectUnresponsive("a", "b1", "b", 900);
		this.suspicions.suspectUnresponsive("a", "b2", "b", 950);
		this.suspicions.recordAnswer(fromZone, "sound", answeringZone, 1_000);
		assertThat(this.suspicions.isSuspect("a", "b9", "b", Long.parseLong(atMs.replace("_", ""))))
			.isEqualTo(partitioned);
	}

	/** A server that has answered since is not lost, so its silence is the link's. */
	@Test
	void serverThatAnswersAgainIsEvidenceOfAPartition() {
		this.suspicions.setDiscountsJointLosses(true);
		this.suspicions.suspectTold("host-b", new ServerSuspicions.Suspicion("b", "b1", "b", 3_900), 1_000);
		this.suspicions.suspectUnresponsive("a", "b1", "b", 1_000);
		this.suspicions.suspectUnresponsive("a", "b2", "b", 1_000);
		assertThat(this.suspicions.isSuspect("a", "b9", "b", 1_000)).isFalse();
		this.suspicions.recordAnswer("c", "b1", "b", 1_100);
		assertThat(this.suspicions.isSuspect("a", "b9", "b", 1_100)).isTrue();
	}

	/** The corrected rule detects each partition that the other rule detects. */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void partitionIsDetectedFromBothSides(boolean discounted) {
		this.suspicions.setDiscountsJointLosses(discounted);
		this.suspicions.suspectUnresponsive("a", "b1", "b", 1_000);
		this.suspicions.suspectUnresponsive("a", "b2", "b", 1_000);
		this.suspicions.suspectTold("host-b", new ServerSuspicions.Suspicion("b", "a1", "a", 3_900), 1_000);
		this.suspicions.suspectTold("host-b", new ServerSuspicions.Suspicion("b", "a2", "a", 3_900), 1_000);
		assertThat(this.suspicions.isSuspect("a", "b3", "b", 1_500)).isTrue();
		assertThat(this.suspicions.isSuspect("b", "a3", "a", 1_500)).isTrue();
		assertThat(this.suspicions.isSuspect("a", "a1", "a", 1_500)).isFalse();
		assertThat(this.suspicions.isSuspect("a", "c1", "c", 1_500)).isFalse();
	}

}
