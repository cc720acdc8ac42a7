package org.medlardrum.cli.internal;

import com.google.gson.JsonObject;

/**
 * Result of a command.
 *
 * @param exitCode exit code
 * @param json result as JSON, for tools
 * @param text result as text, for operators
 */
record CommandResult(ExitCode exitCode, JsonObject json, String text) {

	static CommandResult of(ExitCode exitCode, JsonObject json, String text) {
		json.addProperty("exitCode", exitCode.code());
		return new CommandResult(exitCode, json, text);
	}

	static CommandResult failure(ExitCode exitCode, String reason) {
		JsonObject json = new JsonObject();
		json.addProperty("error", reason);
		return of(exitCode, json, reason);
	}

}
