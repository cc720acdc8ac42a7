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
 * Detects accepted changes that the store has lost and restores them from an entry host,
 * before a new change could be given one of their version numbers.
 */
final class LostChangesRestorer {

	private final ConfigLog log;

	private final Fleet fleet;

	LostChangesRestorer(ConfigLog log, Fleet fleet) {
		this.log = log;
		this.fleet = fleet;
	}

	/**
	 * Compares the newest version of the log with the versions that entry hosts use, and
	 * restores the changes that the log lacks.
	 * @param ignoreUnreachableHosts whether to proceed when no listed host responds
	 * @return the failure that forbids writing to the log, {@code null} when it may be
	 * written
	 */
	CommandResult restore(boolean ignoreUnreachableHosts) {
		StoreResult<LogStatus> loaded = this.log.status();
		if (!(loaded instanceof StoreResult.Ok<LogStatus> ok)) {
			return StoreCommand.storeFailure(loaded);
		}
		LogStatus status = ok.value();
		List<HostStatus> hosts = this.fleet.statuses();
		boolean noneReachable = hosts.stream().noneMatch(HostStatus::isReachable);
		if (noneReachable && !hosts.isEmpty() && !ignoreUnreachableHosts) {
			return CommandResult.failure(ExitCode.UNREACHABLE,
					"nothing was written: none of " + hosts.size() + " entry hosts answers, so it is not known whether "
							+ "the store has lost changes; --ignore-unreachable-hosts writes all the same");
		}
		Optional<HostStatus> ahead = hosts.stream()
			.filter(HostStatus::isReachable)
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
