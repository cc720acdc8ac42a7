package org.medlardrum.state.routing;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class RankOrderTests {

	/**
	 * Guards against routes that become equal because all organisations have the same
	 * rank, and against a route's rank that outweighs that of the organisation.
	 */
	@ParameterizedTest
	@CsvSource({ "'1', 1, 0, 0", "'1', 1, 1, 1", "'1', 1, 2, 2", "'0 1', 0, 2, 2", "'0 1', 1, 0, 3", "'-1', 2, 2, 2",
			"'-1', 0, 0, 0", "'', 1, 1, 1" })
	void organisationsComeBeforeRoutes(String holderRanks, int rank, int routeRank, int position) {
		List<ServiceRoute> routes = IntStream.range(0, 3).mapToObj((of) -> route(of, "model")).toList();
		List<KeyHolder> holders = List.of(holderRanks.split(" "))
			.stream()
			.filter((text) -> !text.isEmpty())
			.map((text) -> new KeyHolder("organisation" + text, Integer.parseInt(text)))
			.toList();
		assertThat(RankOrder.of("model", routes, holders).position(rank, routeRank)).isEqualTo(position);
	}

	/** Guards against routes of other services that move a service's requests back. */
	@ParameterizedTest
	@CsvSource({ "model, 0", "plain, 2" })
	void onlyRoutesOfTheServiceCount(String service, int position) {
		List<ServiceRoute> routes = List.of(route(0, "plain"), route(1, "plain"), route(2, "plain"), route(2, "model"));
		List<KeyHolder> holders = List.of(new KeyHolder("organisation", 1));
		assertThat(RankOrder.of(service, routes, holders).position(1, 2)).isEqualTo(position);
	}

	private static ServiceRoute route(int rank, String service) {
		return new ServiceRoute("route" + rank, "host", "/" + rank + "/", TrafficKind.STREAMING,
				List.of(new ServiceShare(service, 1)), 20_000, 500, 250, rank, 2, false, true);
	}

}
