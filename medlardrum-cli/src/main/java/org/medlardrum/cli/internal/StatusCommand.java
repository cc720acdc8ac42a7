package org.medlardrum.cli.internal;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameters;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.config.LogStatus;

/**
 * Shows the status of the entry hosts and the newest version in the configuration log.
 */
@Parameters(
		commandDescription = "Show version, readiness and load of each entry host, and the newest version in the store")
final class StatusCommand extends StoreCommand {

	@Override
	CommandResult run(Session session) {
		StoreResult<Fleet> fleet = fleet(session);
		if (!(fleet instanceof StoreResult.Ok<Fleet> found)) {
			return storeFailure(fleet);
		}
		JsonObject json = new JsonObject();
		StringBuilder text = new StringBuilder();
		boolean complete = describeLog(session, json, text);
		StringBuilder problems = new StringBuilder();
		JsonArray hosts = new JsonArray();
		List<List<String>> rows = new ArrayList<>();
		rows.add(List.of("HOST", "ZONE", "ADDRESS", "VERSION", "HASH", "READY", "DRAINING", "IN FLIGHT"));
		for (HostStatus host : found.value().statuses()) {
			hosts.add(host.toJson());
			complete &= host.isReachable();
			rows.add(row(host));
			if (!host.configProblem().isEmpty()) {
				problems.append('\n').append(host.address()).append("  config: ").append(host.configProblem());
			}
		}
		json.add("hosts", hosts);
		text.append(ResultFormat.table(rows)).append(problems);
		return CommandResult.of(complete ? ExitCode.OK : ExitCode.UNREACHABLE, json, text.toString());
	}

	private boolean describeLog(Session session, JsonObject json, StringBuilder text) {
		if (this.platformAddress.isEmpty()) {
			return true;
		}
		StoreResult<LogStatus> log = log(session).status();
		if (log instanceof StoreResult.Ok<LogStatus> ok) {
			json.addProperty("newestVersion", ok.value().version());
			text.append("newest version in the store: ").append(ok.value().version());
			if (!ok.value().damage().isEmpty()) {
				json.addProperty("damage", ok.value().damage());
				text.append(" (").append(ok.value().damage()).append(')');
			}
			text.append('\n');
			return true;
		}
		json.addProperty("storeFailure", reasonOf(log));
		text.append("the platform's store: ").append(reasonOf(log)).append('\n');
		return false;
	}

	private static List<String> row(HostStatus host) {
		if (!host.isReachable()) {
			return List.of("-", "-", host.address(), "-", "-", "-", "-", host.failure());
		}
		String hash = host.text("configHash");
		return List.of(host.text("hostId"), host.text("availabilityZone"), host.address(), host.text("configVersion"),
				hash.substring(0, Math.min(12, hash.length())), host.text("ready"), host.text("draining"),
				host.text("inFlight"));
	}

	@Override
	String example() {
		return "status --platform-address 127.0.0.1:7000";
	}

}
