package org.medlardrum.cli.internal;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Puts entry hosts back into service.
 */
@Parameters(commandDescription = "Put entry hosts back into service")
final class UndrainCommand extends StoreCommand {

	@Parameter(description = "<admin address or host id>...")
	List<String> hosts = new ArrayList<>();

	@Override
	CommandResult run(Session session) {
		return new HostAction(this, session, this.hosts).run("/undrain", "in service", 0);
	}

	@Override
	String example() {
		return "undrain 127.0.0.1:9001";
	}

}
