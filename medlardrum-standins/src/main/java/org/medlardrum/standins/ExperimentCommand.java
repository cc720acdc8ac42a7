package org.medlardrum.standins;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.medlardrum.standins.internal.model.ExperimentFile;
import org.medlardrum.standins.internal.model.PoolExperiment;
import org.medlardrum.standins.internal.model.RoutingPolicy;

/**
 * Replays a load on a model of the pool and compares policies.
 */
@Parameters(commandDescription = "Replay a load on a model of the pool, in simulated time, under several policies")
final class ExperimentCommand implements Command {

	@Parameter(names = "--load", required = true, description = "experiment file, as in deploy/experiments")
	private String loadFile;

	@Parameter(names = "--policies",
			description = "names of the policies to compare, separated by commas; all by default")
	private List<String> policies = List.of();

	@Parameter(names = "--svg-file", description = "file for a plot of the requests on time by second")
	private String svgFile;

	@Override
	public int run() throws Exception {
		ExperimentFile experiment = Json.read(this.loadFile, ExperimentFile.class);
		List<String> known = PoolExperiment.POLICIES.stream().map(RoutingPolicy::name).toList();
		for (String name : this.policies) {
			if (!known.contains(name)) {
				throw new IllegalArgumentException("Policy '" + name + "' is not among " + known);
			}
		}
		List<RoutingPolicy> chosen = PoolExperiment.POLICIES.stream()
			.filter((policy) -> this.policies.isEmpty() || this.policies.contains(policy.name()))
			.toList();
		PoolExperiment results = PoolExperiment.run(experiment, chosen);
		results.lines().forEach(System.out::println);
		if (this.svgFile != null) {
			Files.writeString(Path.of(this.svgFile), results.plot());
		}
		return 0;
	}

}
