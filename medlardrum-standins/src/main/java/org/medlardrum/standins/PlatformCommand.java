package org.medlardrum.standins;

import java.time.InstantSource;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.medlardrum.state.HostDirectory;
import org.tinylog.Logger;

/**
 * Runs a platform until the process is stopped.
 */
@Parameters(commandDescription = "Run the platform's key-value service and host list")
final class PlatformCommand implements Command {

	@Parameter(names = "--listen-port", description = "port to listen on, 0 for any free one")
	private int listenPort;

	@Parameter(names = "--hosts", description = "hosts file, in the JSON form of the host list")
	private String hostsFile;

	@Parameter(names = "--writes-per-s", description = "largest number of writes per second, 0 for no limit")
	private double writesPerS = 500;

	@Parameter(names = "--reads-per-s", description = "largest number of reads per second, 0 for no limit")
	private double readsPerS = 2000;

	@Parameter(names = "--hosts-lag-ms", description = "time until readers see a change of the host list")
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
