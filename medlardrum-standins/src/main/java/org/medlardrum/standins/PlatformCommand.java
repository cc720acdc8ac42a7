package org.medlardrum.standins;

import java.time.InstantSource;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.medlardrum.state.HostDirectory;
import org.tinylog.Logger;

/**
 * Runs a platform stand-in until the process is stopped.
 */
@Parameters(commandDescription = "Run a stand-in for the platform's key-value store and host list")
final class PlatformCommand implements Command {

	@Parameter(names = "--listen-port", description = "port to listen on, 0 for a free port")
	private int listenPort;

	@Parameter(names = "--hosts", description = "path of the hosts file, in the JSON format of the host list")
	private String hostsFile;

	@Parameter(names = "--writes-per-s", description = "rate limit of writes, in writes per second, 0 for no limit")
	private double writesPerS = 500;

	@Parameter(names = "--reads-per-s", description = "rate limit of reads, in reads per second, 0 for no limit")
	private double readsPerS = 2000;

	@Parameter(names = "--hosts-lag-ms",
			description = "delay until readers see a change of the host list, in milliseconds")
	private long hostsLagMs;

	@Override
	public int run() throws Exception {
		PlatformStandIn platform = new PlatformStandIn(new PlatformSettings(this.listenPort, this.writesPerS,
				this.readsPerS, this.hostsLagMs, InstantSource.system()));
		if (this.hostsFile != null) {
			platform.setHosts(Json.read(this.hostsFile, HostDirectory.class));
		}
		Logger.info("platform: listening on {}", platform.address());
		Thread.currentThread().join();
		return 0;
	}

}
