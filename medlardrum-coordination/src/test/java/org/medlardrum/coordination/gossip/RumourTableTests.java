package org.medlardrum.coordination.gossip;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.peer.gen.Rumour;
import org.medlardrum.peer.gen.RumourKind;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against hosts that diverge because digests arrived in a different order or
 * twice, and against rumours that never expire.
 */
class RumourTableTests {

	private static final long HOUR_MS = 3_600_000;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void mergeIsCommutativeAndIdempotent(long seed) {
		Random random = new Random(seed);
		List<Rumour> rumours = new ArrayList<>();
		for (int i = 0; i < 30; i++) {
			RumourKind kind = RumourKind.values()[random.nextInt(4)];
			rumours.add(new Rumour(kind, "s" + random.nextInt(4), 1 + random.nextInt(50), random.nextInt(4)));
		}
		Set<Rumour> expected = null;
		for (int order = 0; order < 20; order++) {
			Collections.shuffle(rumours, random);
			RumourTable table = new RumourTable(HOUR_MS, 100);
			rumours.forEach((rumour) -> table.merge(rumour, 0));
			rumours.subList(0, 10).forEach((rumour) -> table.merge(rumour, 0));
			Set<Rumour> result = new HashSet<>(table.inSendingOrder());
			expected = (expected != null) ? expected : result;
			assertWithMessage("seed %s, order %s", seed, order).that(result).isEqualTo(expected);
		}
	}

	@Test
	void rumoursExpireAndTheirNumberAndLifetimeAreBounded() {
		RumourTable table = new RumourTable(HOUR_MS, 10);
		for (int i = 0; i < 50; i++) {
			table.merge(new Rumour(RumourKind.SUSPECT, "s" + i, Long.MAX_VALUE, 1), i);
		}
		assertThat(table.inSendingOrder()).hasSize(10);
		table.removeExpired(HOUR_MS + 50);
		assertThat(table.inSendingOrder()).isEmpty();
		assertThat(table.merge(new Rumour(RumourKind.SUSPECT, "late", 5, 1), 5)).isNull();
		assertThat(table.merge(new Rumour(RumourKind.SUSPECT, "x".repeat(500), 9, 1), 5)).isNull();
		assertThat(table.merge(new Rumour(null, "kind", 9, 1), 5)).isNull();
	}

}
