package org.medlardrum.protocol.caller;

import java.util.List;

import com.google.gson.JsonParseException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against malformed requests that reach an engine, and against errors that do not
 * name the invalid member.
 */
class ChatCodecTests {

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`', value = { "{ | not valid JSON", "[] | not a JSON object",
			"{\"messages\":[]} | \"model\"", "{\"model\":1} | \"model\"", "{\"model\":\"m\"} | \"messages\"",
			"{\"model\":\"m\",\"messages\":[]} | \"messages\"", "{\"model\":\"m\",\"messages\":[1]} | \"messages\"",
			"{\"model\":\"m\",\"messages\":[{\"role\":\"user\"}]} | \"content\"",
			"{\"model\":\"m\",\"messages\":[{\"role\":\"u\",\"content\":\"c\"}],\"max_tokens\":0} | max_tokens",
			"{\"model\":\"m\",\"messages\":[{\"role\":\"u\",\"content\":\"c\"}],\"max_tokens\":1.5} | max_tokens",
			"{\"model\":\"m\",\"messages\":[{\"role\":\"u\",\"content\":\"c\"}],\"stream\":\"yes\"} | stream" })
	void namesTheInvalidMemberOfAMalformedRequest(String body, String fault) {
		assertThat(failure(body)).contains(fault);
	}

	@Test
	void decodesARequest() {
		ChatRequest request = ChatCodec.decodeRequest(
				"{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"c\"}],\"max_tokens\":5,\"stream\":true}");
		assertThat(request).isEqualTo(new ChatRequest("m", List.of(new ChatMessage("user", "c")), 5, true));
		assertThat(request.prompt()).isEqualTo("user: c");
	}

	@Test
	void eventsHoldNoLineFeedInsideTheirData() {
		String event = ChatCodec.event(ChatCodec.chunk("r", 1, "m", "a\nb\r\n", null));
		assertThat(event.indexOf('\n')).isEqualTo(event.length() - 2);
	}

	private static String failure(String body) {
		try {
			return "decoded " + ChatCodec.decodeRequest(body);
		}
		catch (JsonParseException ex) {
			return ex.getMessage();
		}
	}

}
