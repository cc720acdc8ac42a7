package org.medlardrum.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Prints the upper bounds of the throughput of each model in an engines file.
 */
@Parameters(commandDescription = "Print the upper bounds of the throughput of a set of engines, by model")
final class BoundCommand implements Command {

	@Parameter(names = "--engines", required = true, description = "path of the engines file (JSON)")
	private String enginesFile;

	@Override
	public int run() throws Exception {
		EnginesFile file = Json.read(this.enginesFile, EnginesFile.class);
		TreeMap<String, List<EngineSettings>> models = new TreeMap<>();
		for (EngineSettings engine : file.engines()) {
			models.computeIfAbsent(engine.model(), (key) -> new ArrayList<>()).add(engine);
		}
		models.forEach((model, engines) -> {
			int layers = engines.stream().mapToInt(EngineSettings::toLayer).max().orElseThrow();
			print(model, engines.size(), layers, "whole ranges", ThroughputBound.wholeRanges(engines, layers));
			print(model, engines.size(), layers, "split ranges", ThroughputBound.splitRanges(engines, layers));
		});
		return 0;
	}

	private static void print(String model, int engines, int layers, String kind, double tokensPerS) {
		System.out.println(
				String.format(Locale.ROOT, "model %s, %d engines, %d layers, %s: %.1f tokens/s, %.1f tokens x layers/s",
						model, engines, layers, kind, tokensPerS, tokensPerS * layers));
	}

}
