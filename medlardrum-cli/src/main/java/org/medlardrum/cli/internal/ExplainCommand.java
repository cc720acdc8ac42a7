package org.medlardrum.cli.internal;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonObject;
import org.medlardrum.coordination.StoreResult;

/**
 * Shows the decisions that an entry host recorded for a request.
 */
@Parameters(
		commandDescription = "Show the decisions on a request, which the entry host that handled it keeps for a limited time")
final class ExplainCommand extends StoreCommand {

	@Parameter(description = "<request id>")
	List<String> requestIds = new ArrayList<>();

	@Override
	CommandResult run(Session session) {
		String requestId = single(this.requestIds, "request id");
		StoreResult<Fleet> fleet = fleet(session);
		if (!(fleet instanceof StoreResult.Ok<Fleet> found)) {
			return storeFailure(fleet);
		}
		String target = "/explain/" + URLEncoder.encode(requestId, StandardCharsets.UTF_8).replace("+", "%20");
		Map<String, AdminResponse> responses = found.value().callAll("GET", target);
		for (Map.Entry<String, AdminResponse> entry : responses.entrySet()) {
			if (entry.getValue().json().isPresent()) {
				JsonObject json = new JsonObject();
				json.addProperty("address", entry.getKey());
				json.add("explanation", entry.getValue().json().get());
				return CommandResult.of(ExitCode.OK, json,
						"host " + entry.getKey() + "\n"
								+ new GsonBuilder().setPrettyPrinting()
									.disableHtmlEscaping()
									.create()
									.toJson(json.get("explanation")));
			}
		}
		long unreachable = responses.values().stream().filter((response) -> response.status() == 0).count();
		return CommandResult.failure((unreachable > 0) ? ExitCode.UNREACHABLE : ExitCode.FAILED,
				"none of " + (responses.size() - unreachable) + " hosts that answered knows request " + requestId + "; "
						+ unreachable + " did not answer");
	}

	@Override
	String example() {
		return "explain --platform-address 127.0.0.1:7000 req-7f3a";
	}

}
