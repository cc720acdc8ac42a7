package org.medlardrum.cli.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.state.config.ConfigChange;
import org.medlardrum.state.config.ConfigCodec;

/**
 * Lists accepted configuration changes.
 */
@Parameters(commandDescription = "List the newest accepted configuration changes")
final class HistoryCommand extends StoreCommand {

	@Parameter(names = "--limit", description = "Largest number of changes to list")
	String limit = "20";

	@Override
	CommandResult run(Session session) {
		int count = (int) wholeNumber("--limit", this.limit, 1, 10_000);
		StoreResult<List<ConfigChange>> history = log(session).history(count);
		if (!(history instanceof StoreResult.Ok<List<ConfigChange>> ok)) {
			return storeFailure(history);
		}
		JsonObject json = new JsonObject();
		JsonArray changes = new JsonArray();
		List<List<String>> rows = new ArrayList<>(List.of(List.of("VERSION", "AT", "AUTHOR", "CHANGE ID", "EDITS")));
		for (ConfigChange change : ok.value()) {
			changes.add(JsonParser.parseString(ConfigCodec.writeChange(change)));
			List<String> paths = change.edits().stream().map((edit) -> edit.document() + ":" + edit.path()).toList();
			String shown = String.join(" ", paths.subList(0, Math.min(4, paths.size())));
			rows.add(List.of(Long.toString(change.version()), Instant.ofEpochMilli(change.atMs()).toString(),
					change.author(), change.changeId(),
					(paths.size() > 4) ? shown + " and " + (paths.size() - 4) + " more" : shown));
		}
		json.add("changes", changes);
		return CommandResult.of(ExitCode.OK, json, ResultFormat.table(rows));
	}

	@Override
	String example() {
		return "history --platform-address 127.0.0.1:7000 --limit 5";
	}

}
