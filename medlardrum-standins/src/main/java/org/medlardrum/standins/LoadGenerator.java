package org.medlardrum.standins;

import java.util.List;

import com.google.gson.JsonObject;
import org.medlardrum.standins.internal.load.Mix;
import org.medlardrum.standins.internal.load.OpenLoop;

/**
 * Open-loop load on entry hosts that checks every answer. Example:
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
	 * Runs the schedule of a mix and waits until every request has ended.
	 * @param mix contents of a mix file, in JSON
	 * @param targets addresses of the entry hosts
	 * @param services addresses of the plain services, for the check of their executions
	 * @param seed seed of the arrivals
	 * @param maxInFlight largest number of requests in flight
	 * @return the report, in the form of {@code load --json}
	 * @throws Exception if a plain service cannot be asked for its executions
	 */
	public static JsonObject run(String mix, List<String> targets, List<String> services, long seed, int maxInFlight)
			throws Exception {
		return new OpenLoop(Json.parse(mix, Mix.class), targets, seed, maxInFlight).run(services);
	}

}
