package org.medlardrum.gateway.internal.relay;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.state.Host;

/**
 * Chooses the host to which a request is passed on. A random choice among the hosts that
 * receive answers of servers spreads the requests of all hosts that are cut off.
 */
public final class RelayTargets {

	private final GatewayState state;

	private final RandomGenerator random;

	private volatile Map<String, RelayTarget> targetsById = Map.of();

	/**
	 * Creates a chooser without hosts.
	 * @param state state of this host
	 * @param random source of random numbers
	 */
	public RelayTargets(GatewayState state, RandomGenerator random) {
		this.state = state;
		this.random = random;
	}

	/**
	 * Replaces the other hosts.
	 * @param hosts the hosts without this one; one without an address for requests is
	 * never chosen
	 */
	public void updateHosts(Collection<Host> hosts) {
		this.targetsById = hosts.stream()
			.filter((host) -> !host.callerAddress().isEmpty())
			.collect(Collectors.toUnmodifiableMap(Host::id, (host) -> new RelayTarget(host.id(), host.callerAddress()),
					(first, second) -> second));
	}

	/**
	 * Chooses a host.
	 * @param excludedIds identifiers of targets that must not be chosen
	 * @return a host that receives answers of servers, empty if there is none
	 */
	public Optional<RelayTarget> choose(Set<String> excludedIds) {
		Map<String, RelayTarget> targets = this.targetsById;
		List<RelayTarget> usable = this.state.hostsWithPaths()
			.stream()
			.map(targets::get)
			.filter((target) -> target != null && !excludedIds.contains(target.id()))
			.toList();
		return (usable.isEmpty()) ? Optional.empty() : Optional.of(usable.get(this.random.nextInt(usable.size())));
	}

	/**
	 * Records that a host refused a request or could not be reached.
	 * @param target the host
	 */
	public void recordRefusal(RelayTarget target) {
		this.state.recordRelayRefusal(target.hostId());
	}

}
