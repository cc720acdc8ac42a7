package org.medlardrum.standins.internal.load;

import java.util.List;

/**
 * Contents of a mix file: the kinds of requests of a load and, optionally, its phases.
 *
 * @param routes kinds of requests
 * @param phases phases of the schedule, empty if the rate is given elsewhere
 */
public record Mix(List<MixRoute> routes, List<Phase> phases) {

	public Mix {
		if (routes == null || routes.isEmpty()) {
			throw new IllegalArgumentException("Mix has no routes; at least one is required");
		}
		routes = List.copyOf(routes);
		phases = (phases != null) ? List.copyOf(phases) : List.of();
	}

}
