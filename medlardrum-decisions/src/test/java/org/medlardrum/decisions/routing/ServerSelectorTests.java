package org.medlardrum.decisions.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.medlardrum.state.routing.ServiceInstance;

import static com.google.common.truth.Truth.assertThat;

/**
 * Checks that draining and tried servers are never chosen, recently failed ones only as a
 * last resort, and others by load and availability zone.
 */
class ServerSelectorTests {

	private static ServiceInstance server(String id, String zone, boolean draining) {
		return new ServiceInstance(id, "ledger", "10.0.0.1:80", zone, 6, draining, 0, "", Optional.empty());
	}

	private static Optional<String> choose(List<ServiceInstance> servers, Set<String> tried, Map<String, Double> loads,
			Set<String> excluded) {
		return ServerSelector
			.choose(servers, "a", tried, (server) -> loads.getOrDefault(server.id(), 0.0),
					(server) -> excluded.contains(server.id()))
			.map(ServiceInstance::id);
	}

	private final List<ServiceInstance> servers = List.of(server("s1", "a", false), server("s2", "b", false),
			server("s3", "a", true));

	@Test
	void ownZoneFirstUntilItIsLoaded() {
		assertThat(choose(this.servers, Set.of(), Map.of(), Set.of())).hasValue("s1");
		assertThat(choose(this.servers, Set.of(), Map.of("s1", 0.5), Set.of())).hasValue("s2");
	}

	@Test
	void drainingAndTriedServersAreLeftOut() {
		assertThat(choose(this.servers, Set.of("s1"), Map.of(), Set.of())).hasValue("s2");
		assertThat(choose(this.servers, Set.of("s1", "s2"), Map.of(), Set.of())).isEmpty();
	}

	@Test
	void excludedServerIsTheLastResort() {
		assertThat(choose(this.servers, Set.of(), Map.of("s2", 3.0), Set.of("s1"))).hasValue("s2");
		assertThat(choose(this.servers, Set.of("s2"), Map.of(), Set.of("s1"))).hasValue("s1");
	}

}
