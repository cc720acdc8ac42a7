package org.medlardrum.standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.tinylog.Logger;

/**
 * Runs one or more engine stand-ins until the process is stopped. Prints the host list
 * entry of each engine as a JSON line.
 */
@Parameters(commandDescription = "Run stand-ins for model engines")
final class EngineCommand implements Command {

	@Parameter(names = "--engines",
			description = "path of an engines file (JSON); every other flag but --control-port is then ignored")
	private String enginesFile;

	@Parameter(names = "--count", description = "number of engines")
	private int count = 1;

	@Parameter(names = "--stages", description = "number of equal layer ranges, assigned to the engines round-robin")
	private int stages = 1;

	@Parameter(names = "--layers", description = "number of layers of the model")
	private int layers = 24;

	@Parameter(names = "--model", description = "name of the loaded model")
	private String model = "model";

	@Parameter(names = "--slots", description = "maximum number of sequences that run a step concurrently")
	private int slots = 8;

	@Parameter(names = "--layer-time-us", description = "execution time of one layer for one token, in microseconds")
	private long layerTimeUs = 1000;

	@Parameter(names = "--zones",
			description = "availability zones, assigned to the chains round-robin, comma-separated")
	private List<String> zones = List.of("zone-1");

	@Parameter(names = "--id-prefix", description = "prefix of the engine ids")
	private String idPrefix = "engine-";

	@Parameter(names = "--port-base",
			description = "port of the first engine, incremented for each further one; 0 for free ports")
	private int portBase;

	@Parameter(names = "--control-port", description = "port of /<engine>/control/..., 0 for a free port")
	private int controlPort;

	@Override
	public int run() throws Exception {
		EnginesFile file = readOrGenerateEngines();
		WeightStore weights = new WeightStore(file.weightStoreBytesPerS());
		ControlEndpoint control = new ControlEndpoint(this.controlPort);
		for (EngineSettings settings : file.engines()) {
			EngineStandIn engine = new EngineStandIn(settings, weights);
			control.add(settings.id(), engine::control);
			System.out.println(Json.GSON.toJson(engine.hostListEntry()));
		}
		Logger.info("engine: started {} engines, control address {}", file.engines().size(), control.address());
		Thread.currentThread().join();
		return 0;
	}

	private EnginesFile readOrGenerateEngines() throws IOException {
		if (this.enginesFile != null) {
			return Json.read(this.enginesFile, EnginesFile.class);
		}
		List<EngineSettings> engines = new ArrayList<>();
		for (int i = 0; i < this.count; i++) {
			engines.add(engineSettings(i));
		}
		return new EnginesFile(0, engines);
	}

	private EngineSettings engineSettings(int index) {
		int stage = index % this.stages;
		int fromLayer = this.layers * stage / this.stages;
		int toLayer = this.layers * (stage + 1) / this.stages;
		String zone = this.zones.get((index / this.stages) % this.zones.size());
		return EngineSettings.of(this.idPrefix + (index + 1), this.model, fromLayer, toLayer)
			.withSpeed(this.slots, this.layerTimeUs)
			.with((json) -> {
				json.addProperty("availabilityZone", zone);
				json.addProperty("port", (this.portBase > 0) ? this.portBase + index : 0);
			});
	}

}
