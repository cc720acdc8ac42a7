package org.medlardrum.standins;

import com.google.gson.JsonParseException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a misspelt setting that silently has its default value.
 */
class JsonTests {

	@ParameterizedTest
	@ValueSource(strings = { "{\"engine\":[]}", "{\"engines\":[{\"id\":\"e\",\"toLayer\":1,\"slot\":2}]}", "[]", "" })
	void unknownMemberOrOtherJsonTypeIsRefused(String text) {
		boolean refused = false;
		try {
			Json.parse(text, EnginesFile.class);
		}
		catch (JsonParseException ex) {
			refused = true;
		}
		assertThat(refused).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = "{\"engines\":[{\"id\":\"e\",\"toLayer\":1,\"slots\":2}]}")
	void knownMembersAreRead(String text) {
		assertThat(Json.parse(text, EnginesFile.class).engines().get(0).slots()).isEqualTo(2);
	}

}
