package org.medlardrum.decisions.routing;

import org.junit.jupiter.api.Test;

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

}
