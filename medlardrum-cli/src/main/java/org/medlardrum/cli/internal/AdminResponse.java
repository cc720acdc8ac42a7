package org.medlardrum.cli.internal;

import java.util.Optional;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;

/**
 * Response of an entry host to an admin call.
 *
 * @param status HTTP status, 0 when there was no response
 * @param body the body
 * @param failure reason why there was no response, empty when there was one
 */
record AdminResponse(int status, String body, String failure) {

	static AdminResponse unreachable(String reason) {
		return new AdminResponse(0, "", reason);
	}

	boolean isOk() {
		return this.status >= 200 && this.status < 300;
	}

	String describe() {
		return (this.status != 0) ? "HTTP status " + this.status : this.failure;
	}

	Optional<JsonElement> json() {
		try {
			return isOk() ? Optional.of(JsonParser.parseString(this.body)) : Optional.empty();
		}
		catch (JsonParseException ex) {
			return Optional.empty();
		}
	}

	Optional<JsonObject> jsonObject() {
		return json().filter(JsonElement::isJsonObject).map(JsonElement::getAsJsonObject);
	}

}
