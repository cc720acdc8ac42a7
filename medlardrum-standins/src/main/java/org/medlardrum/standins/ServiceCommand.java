package org.medlardrum.standins;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.tinylog.Logger;

/**
 * Runs one or more plain-service stand-ins until the process is stopped. Prints the host
 * list entry of each server as a JSON line.
 */
@Parameters(commandDescription = "Run stand-ins for plain services")
final class ServiceCommand implements Command {

	@Parameter(names = "--count", description = "number of servers")
	private int count = 1;

	@Parameter(names = "--id-prefix", description = "prefix of the server ids")
	private String idPrefix = "service-";

	@Parameter(names = "--pool", description = "pool of the servers")
	private String pool = "services";

	@Parameter(names = "--zone", description = "availability zone of the servers")
	private String zone = "zone-1";

	@Parameter(names = { "--port-base", "--listen-port" },
			description = "port of the first server, incremented for each further one; 0 for free ports")
	private int portBase;

	@Parameter(names = "--slots", description = "maximum number of calls that a server executes concurrently")
	private int slots = 64;

	@Parameter(names = "--delay-ms", description = "execution time of one call, in milliseconds")
	private long delayMs = 5;

	@Parameter(names = "--control-port", description = "port of /<server>/control/..., 0 for a free port")
	private int controlPort;

	@Override
	public int run() throws Exception {
		ControlEndpoint control = new ControlEndpoint(this.controlPort);
		for (int i = 0; i < this.count; i++) {
			String id = this.idPrefix + (i + 1);
			int port = (this.portBase > 0) ? this.portBase + i : 0;
			ServiceStandIn service = new ServiceStandIn(
					new ServiceSettings(id, this.zone, this.pool, port, this.slots, this.delayMs));
			control.add(id, service::control);
			System.out.println(Json.GSON.toJson(service.hostListEntry()));
		}
		Logger.info("service: started {} servers, control address {}", this.count, control.address());
		Thread.currentThread().join();
		return 0;
	}

}
