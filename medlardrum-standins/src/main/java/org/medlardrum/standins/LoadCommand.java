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
import org.medlardrum.standins.internal.load.OpenLoop;
import org.medlardrum.standins.internal.load.Phase;
import org.medlardrum.standins.internal.load.PhasesFile;

/**
 * Runs a load and prints its report. The exit code is 1 if an answer was wrong, a call
 * was executed twice, or a call that was refused as not run was executed.
 */
@Parameters(commandDescription = "Send an open-loop load to entry hosts and check every answer")
final class LoadCommand implements Command {

	@Parameter(names = "--mix", required = true, description = "mix file")
	private String mixFile;

	@Parameter(names = "--phases", description = "file with the phases, instead of those of the mix")
	private String phasesFile;

	@Parameter(names = "--targets", required = true, description = "addresses of the entry hosts, comma-separated")
	private List<String> targets;

	@Parameter(names = "--services", description = "addresses of the plain services, comma-separated")
	private List<String> services = List.of();

	@Parameter(names = "--rate-per-s", description = "arrivals per second, instead of the phases of the mix")
	private double ratePerS;

	@Parameter(names = "--duration-ms", description = "duration with --rate-per-s")
	private long durationMs = 10_000;

	@Parameter(names = "--seed", description = "seed of the arrivals")
	private long seed = System.nanoTime();

	@Parameter(names = "--max-in-flight", description = "largest number of requests in flight")
	private int maxInFlight = 4000;

	@Parameter(names = "--allow-unfinished",
			description = "accept requests that were cut off, as when an entry host is killed")
	private boolean allowUnfinished;

	@Parameter(names = "--json-file", description = "file that the report is written to as JSON as well")
	private String jsonFile;

	@Parameter(names = "--json", description = "print the report as JSON")
	private boolean json;

	@Override
	public int run() throws Exception {
		System.err.println("seed " + this.seed);
		JsonObject report = new OpenLoop(readMix(), this.targets, this.seed, this.maxInFlight).run(this.services);
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
			throw new ParameterException("The mix has no phases; give --rate-per-s or --phases");
		}
		return mix;
	}

}
