package org.medlardrum.gateway.internal.stream;

import java.util.ArrayList;
import java.util.List;

import org.medlardrum.decisions.pool.ChainHop;
import org.medlardrum.gateway.internal.relay.RelayTarget;
import org.medlardrum.state.routing.ServiceInstance;

/**
 * Where an attempt of a stream runs.
 */
sealed interface StreamTarget {

	/**
	 * Returns the server that receives the request.
	 * @return its identifier, or that of the other host
	 */
	default String receiverId() {
		return switch (this) {
			case EngineChain chain -> chain.hops().getFirst().server().id();
			case SingleServer single -> single.server().id();
			case OtherHost other -> other.host().id();
		};
	}

	/**
	 * Returns the address to which the request is sent.
	 * @return {@code ip:port}
	 */
	default String address() {
		return switch (this) {
			case EngineChain chain -> chain.hops().getFirst().server().address();
			case SingleServer single -> single.server().address();
			case OtherHost other -> other.host().address();
		};
	}

	/**
	 * Returns the links over which the servers of the attempt are called.
	 * @param hostZone availability zone of this host
	 * @return a link for each server, in order; none for another host, which has its own
	 */
	default List<Link> links(String hostZone) {
		return switch (this) {
			case EngineChain chain -> chain.linksFrom(hostZone);
			case SingleServer single ->
				List.of(new Link(hostZone, single.server().id(), single.server().availabilityZone()));
			case OtherHost other -> List.of();
		};
	}

	/**
	 * Returns the engines that the request names to its receiver.
	 * @return the chain, empty without one
	 */
	default List<ChainHop> hops() {
		return switch (this) {
			case EngineChain chain -> chain.hops();
			case SingleServer single -> List.of();
			case OtherHost other -> List.of();
		};
	}

	/**
	 * Returns whether the receiver can report which server a silent attempt waits for.
	 * @return {@code true} for an engine
	 */
	default boolean reportsStalls() {
		return this instanceof EngineChain;
	}

	/**
	 * Describes the servers for the log.
	 * @return their addresses, with the layers of engines
	 */
	default String describe() {
		return switch (this) {
			case EngineChain chain -> String.join(",", chain.hops()
				.stream()
				.map((hop) -> hop.server().address() + "/" + hop.layers().fromLayer() + "-" + hop.layers().toLayer())
				.toList());
			case SingleServer single -> single.server().address();
			case OtherHost other -> other.host().address();
		};
	}

	/**
	 * Engines that hold the layers of a model together.
	 *
	 * @param hops the engines in order, at least one
	 */
	record EngineChain(List<ChainHop> hops) implements StreamTarget {

		private List<Link> linksFrom(String hostZone) {
			List<Link> links = new ArrayList<>();
			String fromZone = hostZone;
			for (ChainHop hop : this.hops) {
				links.add(new Link(fromZone, hop.server().id(), hop.server().availabilityZone()));
				fromZone = hop.server().availabilityZone();
			}
			return links;
		}

	}

	/**
	 * A server of a plain service.
	 *
	 * @param server the server as it was registered when it was chosen
	 */
	record SingleServer(ServiceInstance server) implements StreamTarget {
	}

	/**
	 * Another entry host, which chooses the servers.
	 *
	 * @param host the host
	 */
	record OtherHost(RelayTarget host) implements StreamTarget {
	}

	/**
	 * Link over which a server is called.
	 *
	 * @param fromZone availability zone of the caller: this host, or the engine before
	 * @param serverId identifier of the server
	 * @param serverZone availability zone of the server
	 */
	record Link(String fromZone, String serverId, String serverZone) {
	}

}
