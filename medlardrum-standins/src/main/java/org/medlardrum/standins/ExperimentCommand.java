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
 * Simulates a pool under the load of an experiment file and compares routing policies.
 */
@Parameters(commandDescription = "Simulate a load on a pool under several routing policies, in simulated time")
final class ExperimentCommand implements Command {

	@Parameter(names = "--load", required = true,
			description = "path of the experiment file (JSON), for example from deploy/experiments")
	private String experimentFile;

	@Parameter(names = "--policies",
			description = "names of the routing policies to compare, comma-separated; all by default")
	private List<String> policies = List.of();

	@Parameter(names = "--svg-file",
			description = "path of an SVG file to write, a plot of the requests on time by second of arrival")
	private String svgFile;

	@Override
	public int run() throws Exception {
		ExperimentFile experiment = Json.read(this.experimentFile, ExperimentFile.class);
		List<String> knownPolicies = PoolExperiment.POLICIES.stream().map(RoutingPolicy::name).toList();
		for (String name : this.policies) {
			if (!knownPolicies.contains(name)) {
				throw new IllegalArgumentException(
						"Unknown routing policy '" + name + "', known policies: " + knownPolicies);
			}
		}
		List<RoutingPolicy> selectedPolicies = PoolExperiment.POLICIES.stream()
			.filter((policy) -> this.policies.isEmpty() || this.policies.contains(policy.name()))
			.toList();
		PoolExperiment results = PoolExperiment.run(experiment, selectedPolicies);
		results.lines().forEach(System.out::println);
		if (this.svgFile != null) {
			Files.writeString(Path.of(this.svgFile), results.plot());
		}
		return 0;
	}

}
