package org.medlardrum.decisions.routing;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a silent server that every request finds out by its own wait, and
 * against a cut zone that loses its own servers to the suspicions of the others.
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
	void cutZoneKeepsItsOwnServers() {
		this.suspicions.suspect("b", "s1", "a", 1_000);
		this.suspicions.suspect("b", "s2", "a", 1_000);
		this.suspicions.suspect("c", "s1", "a", 1_000);
		assertThat(this.suspicions.isSuspect("a", "s1", "a", 500)).isFalse();
		assertThat(this.suspicions.isSuspect("a", "s3", "a", 500)).isFalse();
	}

	@Test
	void suspicionEndsWithTimeOrAnAnswer() {
		this.suspicions.suspect("a", "s1", "a", 1_000);
		assertThat(this.suspicions.isSuspect("a", "s1", "a", 1_000)).isFalse();
		this.suspicions.suspect("a", "s2", "a", 9_000);
		this.suspicions.clearSuspicion("a", "s2");
		assertThat(this.suspicions.isSuspect("a", "s2", "a", 2_000)).isFalse();
	}

}
