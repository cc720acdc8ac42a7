package org.medlardrum.decisions.routing;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against confirming a configuration before the other hosts could tell a newer
 * one, and against waiting forever for a host that is gone.
 */
class PeerConfigVersionsTests {

	private final PeerConfigVersions versions = new PeerConfigVersions();

	@Test
	void waitEndsWhenAllOtherHostsHaveAnswered() {
		this.versions.updatePeers(List.of("a", "b"));
		this.versions.beginHistory(1_000);
		this.versions.record("a", 6);
		assertThat(this.versions.isAwaiting(1_010)).isTrue();
		this.versions.record("b", 9);
		assertThat(this.versions.isAwaiting(1_020)).isFalse();
		assertThat(this.versions.highestVersion()).isEqualTo(9);
	}

	@Test
	void waitForASilentHostIsLimited() {
		this.versions.updatePeers(List.of("gone"));
		this.versions.beginHistory(1_000);
		assertThat(this.versions.isAwaiting(999 + PeerConfigVersions.MAX_WAIT_MS)).isTrue();
		assertThat(this.versions.isAwaiting(1_000 + PeerConfigVersions.MAX_WAIT_MS)).isFalse();
	}

	@Test
	void answersOfAnEarlierHistoryDoNotCount() {
		this.versions.updatePeers(List.of("a"));
		this.versions.record("a", 6);
		this.versions.beginHistory(1_000);
		assertThat(this.versions.isAwaiting(1_000)).isTrue();
	}

	@Test
	void newerVersionRefutesConfirmationsOnlySoonAfterARestore() {
		this.versions.beginHistory(1_000);
		this.versions.record("a", 9);
		assertThat(this.versions.allowsConfirmation(8, 1_500)).isFalse();
		assertThat(this.versions.allowsConfirmation(9, 1_500)).isTrue();
		assertThat(this.versions.refutesConfirmations(8, 1_500)).isTrue();
		assertThat(this.versions.refutesConfirmations(9, 1_500)).isFalse();
		assertThat(this.versions.refutesConfirmations(8, 1_000 + PeerConfigVersions.RESTORE_WINDOW_MS)).isFalse();
	}

	@Test
	void hostWithoutOthersDoesNotWait() {
		this.versions.beginHistory(1_000);
		assertThat(this.versions.isAwaiting(1_000)).isFalse();
	}

}
