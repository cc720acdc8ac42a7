package org.medlardrum.cli.internal;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Takes entry hosts out of service while their requests in flight complete.
 */
@Parameters(commandDescription = "Take entry hosts out of service; requests in flight complete")
final class DrainCommand extends StoreCommand {

	@Parameter(description = "<admin address or host id>...")
	List<String> hosts = new ArrayList<>();

	@Parameter(names = "--wait-ms", description = "Longest wait until no request is in flight, 0 for no wait")
	String waitMs = "0";

	@Override
	CommandResult run(Session session) {
		long maxWaitMs = wholeNumber("--wait-ms", this.waitMs, 0, 3_600_000);
		return new HostAction(this, session, this.hosts).run("/drain", "draining", maxWaitMs);
	}

	@Override
	String example() {
		return "drain --wait-ms 60000 127.0.0.1:9001";
	}

}
