package org.medlardrum.gateway.internal.stream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against events that are split or joined at the boundaries of the received parts.
 */
class EventParserTests {

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 7, 1000 })
	void eventsAreCompleteForAnyPartSize(int size) {
		byte[] stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\nda"
			.getBytes(StandardCharsets.UTF_8);
		EventParser parser = new EventParser();
		List<StreamedEvent> events = new ArrayList<>();
		for (int from = 0; from < stream.length; from += size) {
			byte[] part = Arrays.copyOfRange(stream, from, Math.min(stream.length, from + size));
			events.addAll(parser.add(part));
		}
		assertThat(events.stream().map(StreamedEvent::id).toList()).containsExactly(1L, 2L, -1L).inOrder();
		assertThat(new String(events.get(1).bytes(), StandardCharsets.UTF_8)).isEqualTo("id: 2\r\ndata: b\r\n\r\n");
		assertThat(parser.hasPartialEvent()).isTrue();
	}

}
