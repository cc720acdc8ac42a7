package org.medlardrum.decisions;

import java.util.random.RandomGenerator;

import org.medlardrum.state.CircuitState;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.EngineState;

/**
 * Expected time of one generated token on an engine: a cost for each layer and a cost for
 * the stage as a whole.
 */
final class EngineCost {

	// Engines process the tokens of a prompt in parallel. The ratio is the typical order
	// of magnitude between the costs of a prompt token and a generated token.
	private static final double PROMPT_TOKEN_COST_RATIO = 1.0 / 16;

	// The weight of a report decays with its age. In simulations with the fleet of
	// HerdingTests and reports every 1 s to 5 s, 250 ms reduced overload to between a
	// quarter and two thirds of that with 1 s; with reports every 200 ms both were equal.
	private static final double REPORT_WEIGHT_TIME_CONSTANT_MS = 250;

	// Old reports still show persistent imbalances, such as a fast engine kind that all
	// hosts prefer. In simulations with two kinds of engines, reports every 5 s and 85%
	// load, 0.1 lowered the mean latency by 13% compared with 0 and by 16% compared with
	// 0.2.
	private static final double MINIMUM_REPORT_WEIGHT = 0.1;

	// In time constants. Beyond it less than a thousandth of the decaying weight is left,
	// and the exponential is not computed.
	private static final double NEGLIGIBLE_WEIGHT_AGE = 7;

	private static final double QUEUEING_FACTOR = 8;

	private static final double STAGE_OVERHEAD_US = 100;

	private static final double REMOTE_ZONE_US = 200;

	// Loading an adapter takes seconds; the time is spread over the tokens of the
	// request.
	private static final double COLD_ADAPTER_US = 2_000_000;

	private static final double PREFILL_ROLE_FACTOR = 2;

	private static final double HALF_OPEN_FACTOR = 8;

	// For one request in 16 a half-open engine competes at its normal cost, as a probe.
	private static final double PROBE_PROBABILITY = 1.0 / 16;

	private final ChainQuery query;

	private final PrefixIndex prefixes;

	private final double meanLoad;

	EngineCost(ChainQuery query, PrefixIndex prefixes, double meanLoad) {
		this.query = query;
		this.prefixes = prefixes;
		this.meanLoad = meanLoad;
	}

	static double reportedLoad(EngineReport report) {
		return (report.running() + report.queued()) / (double) Math.max(1, report.slots());
	}

	// The older the report, the closer the estimate is to the fleet's mean load: an
	// engine that was idle in an old report has received requests from other hosts
	// since.
	private double load(EngineState engine) {
		EngineReport report = engine.report();
		double ageInTimeConstants = Math.max(0, engine.reportAgeMs()) / REPORT_WEIGHT_TIME_CONSTANT_MS;
		double reportWeight = MINIMUM_REPORT_WEIGHT;
		if (ageInTimeConstants < NEGLIGIBLE_WEIGHT_AGE) {
			reportWeight += (1 - MINIMUM_REPORT_WEIGHT) * StrictMath.exp(-ageInTimeConstants);
		}
		double othersLoad = this.meanLoad + (reportedLoad(report) - this.meanLoad) * reportWeight;
		double ownLoad = engine.ownInFlight() / (double) Math.max(1, report.slots());
		return (othersLoad + ownLoad) / Math.min(1, Math.max(0.01, engine.rampShare()));
	}

	// A batch slows down as it grows; requests beyond the slots wait for a free slot.
	private static double loadFactor(double load) {
		return 1 + Math.min(1, load * load) + QUEUEING_FACTOR * Math.max(0, load - 1);
	}

	double layerUs(EngineState engine, RandomGenerator random) {
		EngineReport report = engine.report();
		double layerUs = Math.max(1, report.layerTimeUs()) * Math.max(0.1, engine.observedSlowdown())
				* loadFactor(load(engine)) * promptFactor(engine);
		if ("prefill".equals(report.role())) {
			layerUs *= PREFILL_ROLE_FACTOR;
		}
		if (engine.circuit() == CircuitState.HALF_OPEN && random.nextDouble() >= PROBE_PROBABILITY) {
			layerUs *= HALF_OPEN_FACTOR;
		}
		return layerUs;
	}

	private double promptFactor(EngineState engine) {
		int uncached = Math.max(0, this.query.promptTokens());
		if (!this.query.promptPrefixHash().isEmpty()) {
			int cached = this.prefixes.cachedTokens(engine.server().id(), this.query.promptPrefixHash());
			uncached = Math.max(0, uncached - cached);
		}
		return 1 + PROMPT_TOKEN_COST_RATIO * uncached / Math.max(1, this.query.maxTokens());
	}

	double stageUs(EngineState engine, boolean remoteZone) {
		double stageUs = STAGE_OVERHEAD_US + ((remoteZone) ? REMOTE_ZONE_US : 0);
		if (!this.query.adapter().isEmpty() && !engine.report().adapters().contains(this.query.adapter())) {
			stageUs += COLD_ADAPTER_US / Math.max(1, this.query.maxTokens());
		}
		return stageUs;
	}

}
