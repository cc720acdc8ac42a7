package org.medlardrum.decisions.routing;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against taking lost links of this host for failed servers, and failed servers
 * for lost links.
 */
class BackendLinksTests {

	private final BackendLinks links = new BackendLinks();

	@ParameterizedTest
	@CsvSource({ "0, 0, false, false", "1, 0, false, false", "2, 0, true, true", "2, 1, false, true",
			"9, 4, true, true", "10, 5, false, true", "38, 4, true, true", "10, 32, false, false",
			"5, 5, false, false" })
	void mostServersTriedSinceTheFirstFailureAreUnreachable(int unreachable, int reached, boolean cutOff,
			boolean degraded) {
		for (int i = 0; i < unreachable; i++) {
			this.links.recordUnreachable("gone" + i, 1_000);
		}
		for (int i = 0; i < reached; i++) {
			this.links.recordReached("sound" + i, 1_100);
		}
		assertThat(this.links.isCutOff(1_200)).isEqualTo(cutOff);
		assertThat(this.links.isDegraded(1_200)).isEqualTo(degraded);
	}

	@Test
	void connectionsBeforeTheFirstFailureProveNothing() {
		for (int i = 0; i < 20; i++) {
			this.links.recordReached("s" + i, 900);
		}
		this.links.recordUnreachable("s1", 1_000);
		this.links.recordUnreachable("s2", 1_000);
		assertThat(this.links.isCutOff(1_000)).isTrue();
	}

	@Test
	void oneServerThatFailsRepeatedlyIsNoLostLink() {
		for (int i = 0; i < 20; i++) {
			this.links.recordUnreachable("s1", 1_000 + i * 100);
		}
		assertThat(this.links.isCutOff(3_000)).isFalse();
	}

	@Test
	void reachedServersEndIt() {
		this.links.recordUnreachable("s1", 1_000);
		this.links.recordUnreachable("s2", 1_000);
		this.links.recordReached("s1", 2_000);
		assertThat(this.links.isCutOff(2_000)).isFalse();
		assertThat(this.links.unreachable(2_000)).containsExactly("s2");
	}

	@ParameterizedTest
	@CsvSource({ "900, 0, true", "900, 150, true", "900, 151, false",
			// The request that crashed s1 was sent on to s2.
			"1000, 50, false", "1010, 50, false" })
	void serversThatVanishTogetherMayBeSound(long startedAtMs, long apartMs, boolean together) {
		this.links.recordVanished("s1", 800, 1_000);
		assertThat(this.links.vanishedWithOthers("s1", 1_000)).isFalse();
		this.links.recordVanished("s2", startedAtMs, 1_000 + apartMs);
		assertThat(this.links.vanishedWithOthers("s1", 1_000 + apartMs)).isEqualTo(together);
		assertThat(this.links.vanishedWithOthers("s2", 1_000 + apartMs)).isEqualTo(together);
	}

	@Test
	void oldOutcomesDoNotCount() {
		this.links.recordUnreachable("s1", 1_000);
		this.links.recordUnreachable("s2", 1_000);
		assertThat(this.links.isCutOff(1_001 + BackendLinks.OUTCOME_MS)).isFalse();
	}

}
