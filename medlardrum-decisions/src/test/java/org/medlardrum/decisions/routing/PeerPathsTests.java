package org.medlardrum.decisions.routing;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against passing requests on to a host that cannot reach the servers either.
 */
class PeerPathsTests {

	private final PeerPaths paths = new PeerPaths();

	@ParameterizedTest
	@CsvSource({ "true, 0, 0, true", "true, 1000, 500, true", "true, 1000, 501, false", "true, -1, 0, false",
			"false, 0, 0, false", "true, 0, 1501, false" })
	void hostIsUsableIfItReceivedAnAnswerLately(boolean usable, long answeredMsAgo, long passedMs, boolean expected) {
		this.paths.record("h", usable, answeredMsAgo, 10_000);
		assertThat(this.paths.usable(10_000 + passedMs).contains("h")).isEqualTo(expected);
	}

	@Test
	void hostThatRefusedIsUsableAfterItsNextReport() {
		this.paths.record("h", true, 0, 10_000);
		this.paths.recordRefusal("h");
		assertThat(this.paths.usable(10_000)).isEmpty();
		this.paths.record("h", true, 0, 10_300);
		assertThat(this.paths.usable(10_300)).containsExactly("h");
	}

}
