package org.medlardrum.standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.tinylog.Logger;

/**
 * Runs one or several engines until the process is stopped. Each engine's entry of the
 * host list is printed as a JSON line.
 */
@Parameters(commandDescription = "Run model engines")
final class EngineCommand implements Command {

	@Parameter(names = "--engines", description = "engines file; the flags below are then ignored")
	private String enginesFile;

	@Parameter(names = "--count", description = "number of engines")
	private int count = 1;

	@Parameter(names = "--stages", description = "number of equal layer ranges, taken by the engines in turn")
	private int stages = 1;

	@Parameter(names = "--layers", description = "number of layers of the model")
	private int layers = 24;

	@Parameter(names = "--model", description = "model that is loaded")
	private String model = "model";

	@Parameter(names = "--slots", description = "sequences that run a step at the same time")
	private int slots = 8;

	@Parameter(names = "--layer-time-us", description = "time of one layer for one token")
	private long layerTimeUs = 1000;

	@Parameter(names = "--zones", description = "availability zones, taken by the chains in turn")
	private List<String> zones = List.of("zone-1");

	@Parameter(names = "--id-prefix", description = "prefix of the engines' ids")
	private String idPrefix = "engine-";

	@Parameter(names = "--port-base", description = "port of the first engine, 0 for any free ports")
	private int portBase;

	@Parameter(names = "--control-port", description = "port of /<engine>/control/..., 0 for any free one")
	private int controlPort;

	@Override
	public int run() throws Exception {
		EnginesFile file = file();
		WeightStore weights = new WeightStore(file.weightStoreBytesPerS());
		ControlEndpoint control = new ControlEndpoint(this.controlPort);
		for (EngineSettings settings : file.engines()) {
			EngineStandIn engine = new EngineStandIn(settings, weights);
			control.add(settings.id(), engine::control);
			System.out.println(Json.GSON.toJson(engine.hostListEntry()));
		}
		Logger.info("engine: {} engines started, control address {}", file.engines().size(), control.address());
		Thread.currentThread().join();
		return 0;
	}

	private EnginesFile file() throws IOException {
		if (this.enginesFile != null) {
			return Json.read(this.enginesFile, EnginesFile.class);
		}
		List<EngineSettings> engines = new ArrayList<>();
		for (int i = 0; i < this.count; i++) {
			engines.add(engine(i));
		}
		return new EnginesFile(0, engines);
	}

	private EngineSettings engine(int index) {
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
