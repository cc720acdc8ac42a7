package org.medlardrum.cli.internal;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.config.ConfigLog;
import org.medlardrum.coordination.config.ConfigPullCodec;
import org.medlardrum.coordination.config.LogStatus;
import org.medlardrum.peer.gen.ConfigPull;

/**
 * Finds accepted changes that the store has lost and puts them back from an entry host,
 * before their version numbers could be used again.
 */
final class LostChanges {

	private final ConfigLog log;

	private final Fleet fleet;

	LostChanges(ConfigLog log, Fleet fleet) {
		this.log = log;
		this.fleet = fleet;
	}

	/**
	 * Compares the log with the entry hosts' versions and repairs it if needed.
	 * @param ignoreUnreachableHosts whether to go on when no listed host answers
	 * @return why the log must not be written, {@code null} when it may
	 */
	CommandResult restore(boolean ignoreUnreachableHosts) {
		StoreResult<LogStatus> read = this.log.status();
		if (!(read instanceof StoreResult.Ok<LogStatus> ok)) {
			return StoreCommand.storeFailure(read);
		}
		LogStatus status = ok.value();
		List<HostStatus> hosts = this.fleet.statuses();
		boolean none = hosts.stream().noneMatch(HostStatus::reached);
		if (none && !hosts.isEmpty() && !ignoreUnreachableHosts) {
			return CommandResult.failure(ExitCode.UNREACHABLE,
					"nothing was written: none of " + hosts.size() + " entry hosts answers, so it is not known whether "
							+ "the store has lost changes; --ignore-unreachable-hosts writes all the same");
		}
		Optional<HostStatus> ahead = hosts.stream()
			.filter(HostStatus::reached)
			.max(Comparator.comparingLong(HostStatus::configVersion))
			.filter((host) -> host.configVersion() > status.version());
		if (ahead.isPresent()) {
			return restoreFrom(ahead.get(), status);
		}
		return status.damage().isEmpty() ? null : CommandResult.failure(ExitCode.FAILED,
				"nothing was written: " + status.damage() + ", and no entry host that answers holds it");
	}

	private CommandResult restoreFrom(HostStatus host, LogStatus status) {
		AdminResponse response = this.fleet.call(host.address(), "GET", "/config?after=" + status.version());
		Optional<ConfigPull> pull = response.isOk() ? ConfigPullCodec.read(response.body()) : Optional.empty();
		if (pull.isEmpty()) {
			return CommandResult.failure(ExitCode.UNREACHABLE,
					"nothing was written: the store's log ends at version " + status.version() + " but host "
							+ host.address() + " uses version " + host.configVersion()
							+ " and does not return the lost changes: " + response.describe());
		}
		StoreResult<Long> restored = this.log.restore(pull.get());
		if (restored instanceof StoreResult.Ok<Long> ok && ok.value() >= host.configVersion()) {
			return null;
		}
		return CommandResult.failure(ExitCode.FAILED,
				"the store's log ends at version " + status.version() + ", host " + host.address() + " uses version "
						+ host.configVersion() + ", and the lost changes were not restored: "
						+ StoreCommand.reasonOf(restored));
	}

}
