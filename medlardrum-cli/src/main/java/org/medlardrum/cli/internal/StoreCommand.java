package org.medlardrum.cli.internal;

import java.util.List;

import com.beust.jcommander.Parameter;
import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.config.ConfigLog;
import org.medlardrum.state.Host;
import org.medlardrum.state.HostDirectory;
import org.medlardrum.state.HostState;

/**
 * A command that uses the platform's store and the entry hosts, either those of the
 * platform's host list or those at given addresses.
 */
abstract class StoreCommand extends Command {

	@Parameter(names = "--platform-address", description = "Address of the platform's service, ip:port")
	String platformAddress = "";

	@Parameter(names = "--platform-timeout-ms", description = "Timeout of a call to the platform's service")
	String platformTimeoutMs = "2000";

	@Parameter(names = "--admin-addresses",
			description = "Admin addresses of entry hosts, ip:port, separated by commas; those of the platform's "
					+ "host list by default")
	List<String> adminAddresses = List.of();

	@Parameter(names = "--admin-timeout-ms", description = "Timeout of a call to an entry host")
	String adminTimeoutMs = "2000";

	private PlatformStore store;

	PlatformStore store(Session session) {
		if (this.store == null) {
			this.store = session.openStore(address("--platform-address", this.platformAddress),
					wholeNumber("--platform-timeout-ms", this.platformTimeoutMs, 1, 600_000));
		}
		return this.store;
	}

	ConfigLog log(Session session) {
		return new ConfigLog(store(session), session.clock());
	}

	/**
	 * Returns the entry hosts at the given addresses, or those of the platform's host
	 * list that are not leaving.
	 * @param session the session
	 * @return the entry hosts, {@code Unavailable} when the host list cannot be read
	 */
	StoreResult<Fleet> fleet(Session session) {
		long timeoutMs = wholeNumber("--admin-timeout-ms", this.adminTimeoutMs, 1, 600_000);
		if (!this.adminAddresses.isEmpty()) {
			this.adminAddresses.forEach((given) -> address("--admin-addresses", given));
			return new StoreResult.Ok<>(new Fleet(session, this.adminAddresses, timeoutMs));
		}
		StoreResult<HostDirectory> hosts = store(session).hosts(0, 0);
		return switch (hosts) {
			case StoreResult.Ok<HostDirectory> ok -> {
				List<String> addresses = ok.value()
					.entryHosts()
					.stream()
					.filter((host) -> host.state() != HostState.LEAVING)
					.map(Host::adminAddress)
					.toList();
				yield new StoreResult.Ok<>(new Fleet(session, addresses, timeoutMs));
			}
			case StoreResult.NotFound<HostDirectory> none ->
				new StoreResult.Ok<>(new Fleet(session, List.of(), timeoutMs));
			default -> new StoreResult.Unavailable<>(reasonOf(hosts));
		};
	}

	static String reasonOf(StoreResult<?> result) {
		return switch (result) {
			case StoreResult.Unavailable<?> unavailable -> unavailable.reason();
			case StoreResult.Unknown<?> unknown -> unknown.reason();
			case StoreResult.NotFound<?> missing -> "not found";
			case StoreResult.Conflict<?> conflict -> "conflict";
			case StoreResult.Ok<?> ok -> "";
		};
	}

	static CommandResult storeFailure(StoreResult<?> result) {
		return CommandResult.failure(ExitCode.UNREACHABLE, "the platform's store: " + reasonOf(result));
	}

}
