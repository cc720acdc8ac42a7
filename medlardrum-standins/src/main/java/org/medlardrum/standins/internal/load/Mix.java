package org.medlardrum.standins.internal.load;

import java.util.List;

/**
 * Contents of a mix file.
 *
 * @param routes kinds of requests
 * @param phases schedule, may be empty when the rate is given otherwise
 */
public record Mix(List<MixRoute> routes, List<Phase> phases) {

	public Mix {
		if (routes == null || routes.isEmpty()) {
			throw new IllegalArgumentException("A mix needs at least one route");
		}
		routes = List.copyOf(routes);
		phases = (phases != null) ? List.copyOf(phases) : List.of();
	}

}
