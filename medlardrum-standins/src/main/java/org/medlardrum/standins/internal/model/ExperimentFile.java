package org.medlardrum.standins.internal.model;

import java.util.List;
import java.util.Map;

/**
 * A load to replay, as read from a file.
 *
 * @param name what the load is
 * @param seed seed of arrivals, lengths and drawn zones
 * @param durationS time over which requests arrive
 * @param hostsPerZone number of entry hosts in each availability zone
 * @param pool figures of the model and its engines
 * @param engines engines by availability zone and kind
 * @param requests kinds of requests
 * @param floods times of more arrivals
 * @param losses engines that are lost
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
	 * Figures of the model.
	 *
	 * @param layers number of layers
	 * @param layerMb memory of one layer, in megabytes
	 * @param kvBytesPerToken memory of one token over all layers, in bytes
	 * @param stepMs time of one decoding step of an empty batch
	 * @param perSequenceMs additional time of a step for each sequence
	 * @param contextMsPerKiloToken additional time of a step for 1,000 tokens of context
	 * @param readTokensPerMs prompt tokens read in a millisecond
	 * @param activationBytes bytes that a token sends between two engines
	 * @param zoneLinkMbps bandwidth between availability zones
	 * @param zoneDelayMs one-way delay between availability zones
	 * @param kinds kinds of accelerators by name
	 * @param engine how engines work
	 */
	public record Pool(int layers, double layerMb, double kvBytesPerToken, double stepMs, double perSequenceMs,
			double contextMsPerKiloToken, double readTokensPerMs, double activationBytes, double zoneLinkMbps,
			double zoneDelayMs, Map<String, Kind> kinds, Engine engine) {
	}

	/**
	 * A kind of accelerator.
	 *
	 * @param memoryMb memory, in megabytes
	 * @param stepFactor time of a step relative to the figures of the model
	 * @param readFactor time to read a prompt relative to the figures of the model
	 */
	public record Kind(double memoryMb, double stepFactor, double readFactor) {
	}

	/**
	 * How engines work.
	 *
	 * @param tokensPerEvent tokens that an event of a stream holds
	 * @param pieceTokens prompt tokens of one pass
	 * @param slots requests that an engine takes as the first of a chain
	 * @param reportLagMs age of an engine's report on itself
	 * @param registryMs time after which a lost engine leaves the registry
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
	 * @param rank rank, 0 first
	 * @param perS arrivals in a second over all zones
	 * @param promptTokens mean length of a prompt
	 * @param answerTokens mean length of an answer
	 * @param organisations number of organisations that send them
	 * @param targetMs time within which the first event is on time
	 * @param gapTargetMs longest pause between events that is on time
	 */
	public record RequestKind(String name, int rank, double perS, int promptTokens, int answerTokens, int organisations,
			long targetMs, long gapTargetMs) {
	}

	/**
	 * A time of more arrivals.
	 *
	 * @param kind name of the kind of requests, {@code null} for all
	 * @param zone availability zone, {@code null} for all
	 * @param fromS start
	 * @param forS duration
	 * @param factor multiple of the usual arrivals
	 */
	public record Flood(String kind, String zone, double fromS, double forS, double factor) {
	}

	/**
	 * A loss of engines.
	 *
	 * @param atS time of the loss
	 * @param zone availability zone, {@code null} for any
	 * @param kind kind of accelerator, {@code null} for any
	 * @param count number of engines
	 * @param forS time until they are back with their layers, 0 for never
	 */
	public record Loss(double atS, String zone, String kind, int count, double forS) {
	}

}
