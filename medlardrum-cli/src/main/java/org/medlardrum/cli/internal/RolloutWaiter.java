package org.medlardrum.cli.internal;

import java.util.ArrayList;
import java.util.List;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;

/**
 * Waits until all entry hosts use a configuration version.
 */
final class RolloutWaiter {

	private static final long POLL_INTERVAL_MS = 250;

	private final Session session;

	private final Fleet fleet;

	RolloutWaiter(Session session, Fleet fleet) {
		this.session = session;
		this.fleet = fleet;
	}

	/**
	 * Waits for the hosts and reports those that do not use the version yet.
	 * @param outcome outcome of the change, the first word of the report
	 * @param version the version
	 * @param waitMs longest wait in milliseconds, 0 for no wait
	 * @return the report
	 */
	CommandResult await(String outcome, long version, long waitMs) {
		JsonObject json = new JsonObject();
		json.addProperty("outcome", outcome);
		json.addProperty("version", version);
		String text = outcome + ", version " + version;
		if (waitMs == 0) {
			return CommandResult.of(ExitCode.OK, json, text + ", not waited for");
		}
		long startMs = this.session.clock().millis();
		List<HostStatus> behind = hostsBehind(version);
		while (!behind.isEmpty() && this.session.clock().millis() - startMs < waitMs) {
			this.session.sleepMs(POLL_INTERVAL_MS);
			behind = hostsBehind(version);
		}
		int total = this.fleet.addresses().size();
		json.addProperty("hosts", total);
		json.addProperty("inForceAt", total - behind.size());
		json.addProperty("waitedMs", this.session.clock().millis() - startMs);
		json.add("notInForceAt", describe(behind));
		text += (total > 0) ? ", in force at " + (total - behind.size()) + " of " + total + " entry hosts"
				: ", no entry host is listed";
		return behind.isEmpty() ? CommandResult.of(ExitCode.OK, json, text)
				: CommandResult.of(exitCode(behind), json, text + ", not at:\n" + lines(behind));
	}

	private List<HostStatus> hostsBehind(long version) {
		return this.fleet.statuses()
			.stream()
			.filter((host) -> !host.isReachable() || host.configVersion() < version)
			.toList();
	}

	private static ExitCode exitCode(List<HostStatus> behind) {
		return behind.stream().allMatch(HostStatus::isReachable) ? ExitCode.FAILED : ExitCode.UNREACHABLE;
	}

	private static JsonArray describe(List<HostStatus> behind) {
		JsonArray array = new JsonArray();
		behind.forEach((host) -> array.add(host.toJson()));
		return array;
	}

	private static String lines(List<HostStatus> behind) {
		List<String> lines = new ArrayList<>();
		for (HostStatus host : behind) {
			String state = host.isReachable() ? "version " + host.configVersion() + " " + host.configProblem()
					: host.failure();
			lines.add("  " + host.address() + "  " + state.strip());
		}
		return String.join("\n", lines);
	}

}
