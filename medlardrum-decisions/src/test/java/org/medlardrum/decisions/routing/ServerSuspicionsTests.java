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

}
