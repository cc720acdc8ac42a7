package org.medlardrum.standins;

import java.util.List;

import com.google.gson.JsonObject;
import org.medlardrum.standins.internal.load.Mix;
import org.medlardrum.standins.internal.load.OpenLoopGenerator;

/**
 * Generates an open-loop load on entry hosts and checks every response. Example:
 *
 * <pre>{@code
 * JsonObject report = LoadGenerator.run(mixJson, List.of("127.0.0.1:8080"), List.of(), 42, 1000);
 * long wrong = report.getAsJsonObject("groups").getAsJsonObject("total").get("wrong").getAsLong();
 * }</pre>
 */
public final class LoadGenerator {

	private LoadGenerator() {
	}

	/**
	 * Sends the requests of a mix and waits until each has completed or failed.
	 * @param mix contents of a mix file, in JSON
	 * @param targets addresses of the entry hosts
	 * @param services addresses of the plain services whose executions are checked
	 * @param seed seed of the random arrivals
	 * @param maxInFlight largest number of concurrent requests
	 * @return the report, in the format of {@code load --json}
	 * @throws Exception if the executions of a plain service cannot be read
	 */
	public static JsonObject run(String mix, List<String> targets, List<String> services, long seed, int maxInFlight)
			throws Exception {
		return new OpenLoopGenerator(Json.parse(mix, Mix.class), targets, seed, maxInFlight).run(services);
	}

}
