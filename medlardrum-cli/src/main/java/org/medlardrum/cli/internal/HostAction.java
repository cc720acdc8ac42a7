package org.medlardrum.cli.internal;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.ParameterException;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.state.Host;
import org.medlardrum.state.HostDirectory;

/**
 * Calls an action of entry hosts, such as draining, and reports each response.
 */
final class HostAction {

	private static final long POLL_INTERVAL_MS = 250;

	private final StoreCommand command;

	private final Session session;

	private final List<String> hosts;

	HostAction(StoreCommand command, Session session, List<String> hosts) {
		this.command = command;
		this.session = session;
		this.hosts = hosts;
	}

	CommandResult run(String target, String successText, long waitMs) {
		if (this.hosts.isEmpty()) {
			throw new ParameterException("no host given; accepted: admin addresses or host ids");
		}
		List<String> addresses = new ArrayList<>();
		for (String host : this.hosts) {
			addresses.add(host.contains(":") ? Command.address("--admin-addresses", host) : addressOf(host));
		}
		long timeoutMs = Command.wholeNumber("--admin-timeout-ms", this.command.adminTimeoutMs, 1, 600_000);
		Fleet fleet = new Fleet(this.session, addresses, timeoutMs);
		JsonArray results = new JsonArray();
		List<String> lines = new ArrayList<>();
		ExitCode exitCode = ExitCode.OK;
		for (String address : addresses) {
			AdminResponse response = fleet.call(address, "POST", target);
			String text = response.isOk() ? successText : response.describe();
			if (!response.isOk()) {
				exitCode = (response.status() == 0) ? ExitCode.UNREACHABLE : ExitCode.FAILED;
			}
			JsonObject result = new JsonObject();
			result.addProperty("address", address);
			result.addProperty("result", text);
			results.add(result);
			lines.add(address + "  " + text);
		}
		if (exitCode == ExitCode.OK && waitMs > 0) {
			exitCode = awaitIdle(fleet, waitMs, lines);
		}
		JsonObject json = new JsonObject();
		json.add("hosts", results);
		return CommandResult.of(exitCode, json, String.join("\n", lines));
	}

	private ExitCode awaitIdle(Fleet fleet, long waitMs, List<String> lines) {
		long startMs = this.session.clock().millis();
		List<HostStatus> busy = busyHosts(fleet);
		while (!busy.isEmpty() && this.session.clock().millis() - startMs < waitMs) {
			this.session.sleepMs(POLL_INTERVAL_MS);
			busy = busyHosts(fleet);
		}
		busy.forEach(
				(host) -> lines.add(host.address() + "  " + host.number("inFlight") + " requests still in flight"));
		return busy.isEmpty() ? ExitCode.OK : ExitCode.FAILED;
	}

	private static List<HostStatus> busyHosts(Fleet fleet) {
		// A host that accepted the action and no longer responds has stopped.
		return fleet.statuses().stream().filter((host) -> host.isReachable() && host.number("inFlight") > 0).toList();
	}

	private String addressOf(String hostId) {
		StoreResult<HostDirectory> listed = this.command.store(this.session).hosts(0, 0);
		if (listed instanceof StoreResult.Ok<HostDirectory> ok) {
			return ok.value()
				.entryHosts()
				.stream()
				.filter((host) -> host.id().equals(hostId))
				.map(Host::adminAddress)
				.findFirst()
				.orElseThrow(() -> new ParameterException("host \"" + hostId + "\" is not in the platform's list"));
		}
		throw new ParameterException("host \"" + hostId + "\" cannot be looked up: " + StoreCommand.reasonOf(listed));
	}

}
