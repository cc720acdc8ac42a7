package org.medlardrum.cli.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.Parameters;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import org.medlardrum.coordination.StoreResult;

/**
 * Lists the requests that entry hosts hold in quarantine.
 */
@Parameters(commandDescription = "List the requests in quarantine at each entry host")
final class QuarantineCommand extends StoreCommand {

	@Override
	CommandResult run(Session session) {
		StoreResult<Fleet> fleet = fleet(session);
		if (!(fleet instanceof StoreResult.Ok<Fleet> found)) {
			return storeFailure(fleet);
		}
		JsonObject json = new JsonObject();
		JsonObject hosts = new JsonObject();
		List<String> lines = new ArrayList<>();
		boolean complete = true;
		for (Map.Entry<String, AdminResponse> entry : found.value().callAll("GET", "/quarantine").entrySet()) {
			complete &= entry.getValue().json().isPresent();
			JsonArray entries = entriesOf(entry.getValue());
			hosts.add(entry.getKey(), entries);
			String summary = entry.getValue().json().isPresent() ? entries.size() + " in quarantine"
					: entry.getValue().describe();
			lines.add(entry.getKey() + "  " + summary);
			entries.forEach((item) -> lines
				.add("  " + (item.isJsonObject() ? ResultFormat.singleLine(item.getAsJsonObject()) : item.toString())));
		}
		json.add("hosts", hosts);
		return CommandResult.of(complete ? ExitCode.OK : ExitCode.UNREACHABLE, json, String.join("\n", lines));
	}

	private static JsonArray entriesOf(AdminResponse response) {
		JsonElement json = response.json().orElseGet(JsonArray::new);
		if (json.isJsonObject()) {
			// An entry host may wrap the list in an object with further members.
			return json.getAsJsonObject()
				.asMap()
				.values()
				.stream()
				.filter(JsonElement::isJsonArray)
				.map(JsonElement::getAsJsonArray)
				.findFirst()
				.orElseGet(JsonArray::new);
		}
		return json.isJsonArray() ? json.getAsJsonArray() : new JsonArray();
	}

	@Override
	String example() {
		return "quarantine --admin-addresses 127.0.0.1:9001,127.0.0.1:9002";
	}

}
