package org.medlardrum.standins;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.google.gson.JsonObject;
import org.medlardrum.standins.internal.load.Mix;
import org.medlardrum.standins.internal.load.OpenLoopGenerator;
import org.medlardrum.standins.internal.load.Phase;
import org.medlardrum.standins.internal.load.PhasesFile;

/**
 * Generates load on entry hosts and prints a report. The exit code is 1 if a response was
 * wrong, if a response was incomplete or missing and {@code --allow-unfinished} is not
 * set, or if the executions at the plain services contradict the responses: a call was
 * executed twice, was executed after a refusal that says that it did not run, or was
 * answered without an execution.
 */
@Parameters(commandDescription = "Generate an open-loop load on entry hosts and check every response")
final class LoadCommand implements Command {

	@Parameter(names = "--mix", required = true, description = "path of the mix file (JSON)")
	private String mixFile;

	@Parameter(names = "--phases", description = "path of a phases file (JSON) that replaces the phases of the mix")
	private String phasesFile;

	@Parameter(names = "--targets", required = true, description = "addresses of the entry hosts, comma-separated")
	private List<String> targets;

	@Parameter(names = "--services",
			description = "addresses of the plain services whose executions are checked, comma-separated")
	private List<String> services = List.of();

	@Parameter(names = "--rate-per-s",
			description = "constant arrival rate, in requests per second, that replaces the phases of the mix")
	private double ratePerS;

	@Parameter(names = "--duration-ms", description = "duration of the load with --rate-per-s, in milliseconds")
	private long durationMs = 10_000;

	@Parameter(names = "--seed", description = "seed of the random arrivals")
	private long seed = System.nanoTime();

	@Parameter(names = "--max-in-flight",
			description = "largest number of concurrent requests; arrivals above it are counted as not sent")
	private int maxInFlight = 4000;

	@Parameter(names = "--allow-unfinished",
			description = "exit with 0 despite incomplete or missing responses, for runs that kill an entry host")
	private boolean allowUnfinished;

	@Parameter(names = "--json-file", description = "path of a file to which the report is also written as JSON")
	private String jsonFile;

	@Parameter(names = "--json", description = "print the report as JSON instead of text")
	private boolean json;

	@Override
	public int run() throws Exception {
		System.err.println("seed " + this.seed);
		JsonObject report = new OpenLoopGenerator(readMix(), this.targets, this.seed, this.maxInFlight)
			.run(this.services);
		if (this.jsonFile != null) {
			Files.writeString(Path.of(this.jsonFile), Json.GSON.toJson(report));
		}
		System.out.println((this.json) ? Json.GSON.toJson(report) : LoadReport.text(report));
		return LoadReport.isCorrect(report, this.allowUnfinished) ? 0 : 1;
	}

	private Mix readMix() throws IOException {
		Mix mix = Json.read(this.mixFile, Mix.class);
		if (this.ratePerS > 0) {
			return new Mix(mix.routes(), List.of(new Phase("steady", this.ratePerS, this.durationMs, null, null)));
		}
		if (this.phasesFile != null) {
			return new Mix(mix.routes(), Json.read(this.phasesFile, PhasesFile.class).phases());
		}
		if (mix.phases().isEmpty()) {
			throw new ParameterException("The mix file has no phases; set --rate-per-s or --phases");
		}
		return mix;
	}

}
