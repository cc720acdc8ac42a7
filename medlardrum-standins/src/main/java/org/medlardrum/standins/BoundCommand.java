package org.medlardrum.standins;

import java.util.Locale;
import java.util.TreeMap;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Prints the throughput bound of an engines file for each model.
 */
@Parameters(commandDescription = "Print the throughput bound of a fleet of engines")
final class BoundCommand implements Command {

	@Parameter(names = "--engines", required = true, description = "engines file")
	private String enginesFile;

	@Override
	public int run() throws Exception {
		EnginesFile file = Json.read(this.enginesFile, EnginesFile.class);
		TreeMap<String, java.util.List<EngineSettings>> models = new TreeMap<>();
		for (EngineSettings engine : file.engines()) {
			models.computeIfAbsent(engine.model(), (key) -> new java.util.ArrayList<>()).add(engine);
		}
		models.forEach((model, engines) -> {
			int layers = engines.stream().mapToInt(EngineSettings::toLayer).max().orElseThrow();
			double tokensPerS = FleetBound.tokensPerS(engines, layers);
			System.out.println(String.format(Locale.ROOT,
					"model %s: %d engines, %d layers, bound %.1f tokens/s, %.1f tokens x layers/s", model,
					engines.size(), layers, tokensPerS, tokensPerS * layers));
		});
		return 0;
	}

}
