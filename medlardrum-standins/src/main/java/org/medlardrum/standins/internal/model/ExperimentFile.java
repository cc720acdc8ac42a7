package org.medlardrum.standins.internal.model;

import java.util.List;
import java.util.Map;

/**
 * Contents of an experiment file: a pool of engines and the load to replay on it.
 *
 * @param name description of the load
 * @param seed seed for random arrivals, lengths, failover zones and failed engines
 * @param durationS time during which requests arrive, in seconds
 * @param hostsPerZone number of entry hosts in each availability zone
 * @param pool parameters of the model and its engines
 * @param engines engines by availability zone and kind
 * @param requests kinds of requests
 * @param floods surges in arrivals
 * @param losses engine failures
 */
public record ExperimentFile(String name, long seed, double durationS, Map<String, Integer> hostsPerZone, Pool pool,
		List<EngineGroup> engines, List<RequestKind> requests, List<Flood> floods, List<Loss> losses) {

	public ExperimentFile {
		if (!(durationS > 0)) {
			throw new IllegalArgumentException("durationS of experiment '" + name + "' is not positive");
		}
		if (hostsPerZone == null || hostsPerZone.isEmpty()) {
			throw new IllegalArgumentException("Experiment '" + name + "' has no hostsPerZone");
		}
		if (pool == null || engines == null || requests == null || requests.isEmpty()) {
			throw new IllegalArgumentException("Experiment '" + name + "' needs pool, engines and requests");
		}
		floods = (floods != null) ? floods : List.of();
		losses = (losses != null) ? losses : List.of();
	}

	/**
	 * Parameters of the model and its engines.
	 *
	 * @param layers number of layers
	 * @param layerMb memory of one layer, in megabytes
	 * @param kvBytesPerToken memory of one token over all layers, in bytes
	 * @param stepMs time of one decode step of an empty batch, in milliseconds
	 * @param perSequenceMs additional time of a decode step for each sequence, in
	 * milliseconds
	 * @param contextMsPerKiloToken additional time of a decode step for each 1,000 tokens
	 * of context, in milliseconds
	 * @param readTokensPerMs prompt tokens prefilled in a millisecond
	 * @param activationBytes size of the activation of one token that is sent between two
	 * engines, in bytes
	 * @param zoneLinkMbps bandwidth between availability zones, in megabits per second
	 * @param zoneDelayMs one-way delay between availability zones, in milliseconds
	 * @param kinds kinds of accelerators by name
	 * @param engine parameters of each engine
	 */
	public record Pool(int layers, double layerMb, double kvBytesPerToken, double stepMs, double perSequenceMs,
			double contextMsPerKiloToken, double readTokensPerMs, double activationBytes, double zoneLinkMbps,
			double zoneDelayMs, Map<String, Kind> kinds, Engine engine) {
	}

	/**
	 * A kind of accelerator.
	 *
	 * @param memoryMb memory, in megabytes
	 * @param stepFactor time of a decode step as a multiple of the time in the model's
	 * parameters
	 * @param readFactor time of a prefill as a multiple of the time in the model's
	 * parameters
	 */
	public record Kind(double memoryMb, double stepFactor, double readFactor) {
	}

	/**
	 * Parameters of each engine.
	 *
	 * @param tokensPerEvent number of tokens in an event of a stream
	 * @param pieceTokens maximum number of prompt tokens in one pass, which is the size
	 * of a prefill chunk
	 * @param slots number of requests that an engine accepts as the head engine of a
	 * chain
	 * @param reportLagMs age of the load reports of an engine, in milliseconds
	 * @param registryMs time after which a failed engine is removed from the registry, in
	 * milliseconds
	 */
	public record Engine(int tokensPerEvent, int pieceTokens, int slots, double reportLagMs, double registryMs) {
	}

	/**
	 * Engines of one kind in one availability zone.
	 *
	 * @param zone availability zone
	 * @param kind name of the kind
	 * @param count number of engines
	 */
	public record EngineGroup(String zone, String kind, int count) {
	}

	/**
	 * A kind of requests.
	 *
	 * @param name name of the kind
	 * @param rank rank, 0 for the highest
	 * @param perS arrivals per second in all availability zones together
	 * @param promptTokens mean length of a prompt, in tokens
	 * @param answerTokens mean length of a completion, in tokens
	 * @param organisations number of organisations that send them
	 * @param targetMs target for the time to the first event, in milliseconds
	 * @param gapTargetMs target for the longest gap between events, in milliseconds
	 */
	public record RequestKind(String name, int rank, double perS, int promptTokens, int answerTokens, int organisations,
			long targetMs, long gapTargetMs) {
	}

	/**
	 * A surge in arrivals.
	 *
	 * @param kind name of the kind of requests, {@code null} for all
	 * @param zone availability zone, {@code null} for all
	 * @param fromS start, in seconds
	 * @param forS duration, in seconds
	 * @param factor factor by which arrivals are multiplied
	 */
	public record Flood(String kind, String zone, double fromS, double forS, double factor) {
	}

	/**
	 * A failure of engines.
	 *
	 * @param atS time of the failure, in seconds
	 * @param zone availability zone, {@code null} for any
	 * @param kind kind of accelerator, {@code null} for any
	 * @param count number of engines
	 * @param forS time until the engines have recovered with their layers, in seconds; 0
	 * for never
	 */
	public record Loss(double atS, String zone, String kind, int count, double forS) {
	}

}
