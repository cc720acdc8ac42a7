package org.medlardrum.decisions.crash;

import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against hosts that try the same suspected part at the same time, each of which
 * would end a server.
 */
class TrialTurnsTests {

	private static final Subject PART = Subject.promptPart("5c1e07a2");

	@ParameterizedTest
	@ValueSource(ints = { 3, 15, 92 })
	void hostsThatHadTheRequestGoFirst(int hosts) {
		for (int i = 0; i < hosts; i++) {
			long witnessMs = TrialTurns.delayMs(PART, "host-" + i, true);
			long otherMs = TrialTurns.delayMs(PART, "host-" + i, false);
			assertThat(witnessMs).isLessThan(TrialTurns.WITNESS_TURNS * TrialTurns.TURN_MS);
			assertThat(otherMs).isAtLeast(TrialTurns.WITNESS_TURNS * TrialTurns.TURN_MS);
		}
	}

	@Test
	void hostsAndPartsAreSpreadOverTheTurns() {
		Set<Long> byHost = new HashSet<>();
		Set<Long> byPart = new HashSet<>();
		for (int i = 0; i < 15; i++) {
			byHost.add(TrialTurns.delayMs(PART, "front-elqui-a-" + i, false));
			byPart.add(TrialTurns.delayMs(Subject.promptPart("part-" + i), "front-elqui-a-1", true));
		}
		assertThat(byHost.size()).isAtLeast(TrialTurns.OTHER_TURNS / 2);
		assertThat(byPart.size()).isAtLeast(TrialTurns.WITNESS_TURNS / 2);
	}

	@Test
	void turnDoesNotChange() {
		assertThat(TrialTurns.delayMs(PART, "host", true)).isEqualTo(TrialTurns.delayMs(PART, "host", true));
	}

}
