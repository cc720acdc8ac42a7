package org.medlardrum.decisions.pool;

import java.util.Arrays;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a stream that is continued with events that do not follow, and against a
 * continuation that is given up although it follows.
 */
class EventOrderTests {

	@ParameterizedTest
	@CsvSource({ "1 2, 3, -1, true", "1 2, 4, -1, false", "1 2, 2, -1, true", "1 2, 1, -1, true", "1 2, -1, -1, false",
			"1 2, 3, 3, false", "1 2, 1, 2, false", "7, 8, -1, true", "7, 12, -1, true", "10 20, 30, -1, true",
			"1 2 5, 9, -1, true", "1 2 5, 5, 5, false", "-1 -1, 1, -1, false", "1 -1 2, 4, -1, false",
			"1 -1 2, 3, -1, true", "'', 1, -1, false" })
	void eventContinuesAStream(String received, long id, long previousId, boolean continues) {
		EventOrder order = EventOrder.NONE;
		for (long each : Arrays.stream(received.split(" "))
			.filter((n) -> !n.isEmpty())
			.mapToLong(Long::parseLong)
			.toArray()) {
			order = order.with(each);
		}
		assertThat(order.continuationFault(id, previousId).isEmpty()).isEqualTo(continues);
	}

}
