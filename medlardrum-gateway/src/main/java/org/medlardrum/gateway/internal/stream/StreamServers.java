package org.medlardrum.gateway.internal.stream;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.medlardrum.state.routing.ServiceInstance;

/**
 * Chooses where the attempts of a stream run: at chains of engines, or at single servers
 * of a plain service. It does not affect how the response is delivered.
 */
sealed interface StreamServers permits ChainChooser, ServerChooser {

	/**
	 * Returns the work of the request for the admission to its service.
	 * @return the work, in the unit of the service
	 */
	double work();

	/**
	 * Returns how long the request is expected to run.
	 * @return the duration in milliseconds
	 */
	long estimatedDurationMs();

	/**
	 * Chooses servers and reserves them.
	 * @param excluded identifiers of servers that must not be used
	 * @param resumes whether the caller has already received events of the stream
	 * @return the servers, empty if none have free capacity
	 */
	Optional<ReservedTarget> choose(Set<String> excluded, boolean resumes);

	/**
	 * Chooses servers that have ample free capacity, for a stream that may merely be slow
	 * where it is.
	 * @param excluded identifiers of servers that must not be used
	 * @param resumes whether the caller has already received events of the stream
	 * @return the servers, empty if none have enough
	 */
	Optional<ReservedTarget> chooseSpare(Set<String> excluded, boolean resumes);

	/**
	 * Returns whether servers could be chosen if none had any load.
	 * @param excluded identifiers of servers that must not be used
	 * @return {@code false} if free capacity alone does not help
	 */
	boolean existWithoutLoad(Set<String> excluded);

	/**
	 * Lets the request wait in the queue of a server, where servers have one.
	 * @return {@code false} if servers without free capacity must not get the request
	 */
	boolean allowQueueing();

	/**
	 * Releases servers whose attempt was not started.
	 * @param chosen the servers
	 */
	void release(ReservedTarget chosen);

	/**
	 * Records that an attempt was refused without being executed.
	 * @param target where the attempt ran
	 * @param servers the servers as they were registered when they were chosen
	 * @param faultyAddress address of the server that the response names
	 * @param status status of the response
	 */
	void recordRefusal(StreamTarget target, List<ServiceInstance> servers, Optional<String> faultyAddress, int status);

	/**
	 * Returns whether other requests go on if this one ends the server that receives it.
	 * @return {@code true} if another server can take over
	 */
	boolean hasSpareReceiver();

	/**
	 * Returns the servers that could receive the request.
	 * @return their identifiers
	 */
	List<String> receivers();

	/**
	 * Returns why no servers were found.
	 * @return explanation for the caller
	 */
	String shortageDetail();

	/**
	 * Logs why no servers were found.
	 * @param excluded identifiers of servers that must not be used
	 */
	void logShortage(Set<String> excluded);

}
