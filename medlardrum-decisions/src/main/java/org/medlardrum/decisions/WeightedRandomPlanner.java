package org.medlardrum.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import org.medlardrum.state.Chain;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.EngineState;
import org.medlardrum.state.FleetSnapshot;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.Stage;

/**
 * Chooses the chain of a request by weighted sampling. Each layer of the model is run
 * exactly once; an engine may run only some of the layers that it holds. The random
 * choice makes hosts that decide on the same reports spread their requests over engines,
 * layer ranges and availability zones. <pre>{@code
 * WeightedRandomPlanner planner = new WeightedRandomPlanner();
 * switch (planner.plan(query, fleet, new SplittableRandom(seed))) {
 *     case ChainDecision.Chosen chosen -> start(chosen.chain());
 *     case ChainDecision.NoChain none -> refuse(none.reason(), none.retryAfterMs());
 * }
 * }</pre>
 */
public final class WeightedRandomPlanner implements ChainPolicy {

	private static final long RETRY_AFTER_MS = 1000;

	// Candidates only explain a decision to operators; for a fleet of 3,000 engines, a
	// complete list would be larger than the response.
	private static final int MAX_CONSIDERED = 32;

	private static final int MAX_REJECTED = 32;

	// Ranges whose costs differ by a tenth are nearly equal: with fresh reports the
	// cheaper one is 2.6 times as likely to be chosen, with stale reports 1.5 times.
	private static final double FRESH_TEMPERATURE = 0.1;

	private static final double STALE_TEMPERATURE = 0.25;

	private static final double STALENESS_TIME_CONSTANT_MS = 5000;

	private final PrefixIndex prefixes;

	/**
	 * Creates a planner that ignores the prompt caches of engines.
	 */
	public WeightedRandomPlanner() {
		this(PrefixIndex.NONE);
	}

	/**
	 * Creates a planner.
	 * @param prefixes index of the prompt prefixes that engines have cached
	 */
	public WeightedRandomPlanner(PrefixIndex prefixes) {
		this.prefixes = prefixes;
	}

	/**
	 * Chooses a chain for the request. Equal arguments and an equal state of the random
	 * source give the same decision.
	 * @param query the request
	 * @param fleet engines of the model's pool
	 * @param random random source
	 * @return the chain, or why there is none
	 */
	public ChainDecision plan(ChainQuery query, FleetSnapshot fleet, RandomGenerator random) {
		List<EngineState> usable = new ArrayList<>(fleet.engines().size());
		List<CandidateScore> rejected = new ArrayList<>();
		Map<String, Integer> rejections = new TreeMap<>();
		for (EngineState engine : fleet.engines()) {
			String reason = EngineFilter.reject(engine, query);
			if (reason == null) {
				usable.add(engine);
			}
			else if (!reason.equals(EngineFilter.OTHER_MODEL)) {
				rejections.merge(reason, 1, Integer::sum);
				addRejected(engine, reason, rejected);
			}
		}
		LinkTable links = new LinkTable(fleet);
		List<RangeCandidate> candidates = sample(query, usable, links, random);
		links.build();
		CoverSearch search = new CoverSearch(query.layerCount(), candidates, links);
		List<CoverSearch.PlannedStage> stages = search.findCheapest();
		if (stages.isEmpty()) {
			return new ChainDecision.NoChain(reason(query, search.firstUncoveredLayer(), rejections), RETRY_AFTER_MS,
					scores(stages, candidates, rejected));
		}
		return new ChainDecision.Chosen(chain(stages), scores(stages, candidates, rejected));
	}

	private List<RangeCandidate> sample(ChainQuery query, List<EngineState> usable, LinkTable links,
			RandomGenerator random) {
		double loadSum = 0;
		double ageSumMs = 0;
		for (EngineState engine : usable) {
			loadSum += EngineCost.reportedLoad(engine.report());
			ageSumMs += Math.max(0, engine.reportAgeMs());
		}
		int count = Math.max(1, usable.size());
		EngineCost cost = new EngineCost(query, this.prefixes, loadSum / count);
		RangeCandidates ranges = new RangeCandidates(query.layerCount(), random);
		for (EngineState engine : usable) {
			int zone = links.zoneIndex(engine.server().availabilityZone());
			ranges.add(engine, zone, cost.layerUs(engine, random), cost.stageUs(engine, zone != 0));
		}
		double staleness = 1 - StrictMath.exp(-ageSumMs / count / STALENESS_TIME_CONSTANT_MS);
		return ranges.sample(FRESH_TEMPERATURE + (STALE_TEMPERATURE - FRESH_TEMPERATURE) * staleness);
	}

	private static void addRejected(EngineState engine, String reason, List<CandidateScore> rejected) {
		EngineReport report = engine.report();
		if (report != null && rejected.size() < MAX_REJECTED) {
			rejected.add(new CandidateScore(engine.server().id(), new LayerRange(report.fromLayer(), report.toLayer()),
					0, reason));
		}
	}

	private static Chain chain(List<CoverSearch.PlannedStage> planned) {
		List<Stage> stages = new ArrayList<>(planned.size());
		for (CoverSearch.PlannedStage stage : planned) {
			EngineState engine = stage.candidate().engine();
			stages.add(new Stage(engine.server().id(), engine.server().address(), stage.layers().fromLayer(),
					stage.layers().toLayer()));
		}
		return new Chain(stages);
	}

	private static List<CandidateScore> scores(List<CoverSearch.PlannedStage> stages, List<RangeCandidate> candidates,
			List<CandidateScore> rejected) {
		List<CandidateScore> scores = new ArrayList<>();
		for (CoverSearch.PlannedStage stage : stages) {
			RangeCandidate candidate = stage.candidate();
			scores.add(new CandidateScore(candidate.engine().server().id(), stage.layers(),
					candidate.stageUs() + candidate.layerUs() * stage.layers().length(), "chosen"));
		}
		int considered = 0;
		for (RangeCandidate candidate : candidates) {
			if (considered < MAX_CONSIDERED && !isChosen(candidate, stages)) {
				scores.add(new CandidateScore(candidate.engine().server().id(), candidate.layers(), candidate.costUs(),
						"considered"));
				considered++;
			}
		}
		scores.addAll(rejected);
		return scores;
	}

	private static boolean isChosen(RangeCandidate candidate, List<CoverSearch.PlannedStage> stages) {
		for (CoverSearch.PlannedStage stage : stages) {
			if (stage.candidate() == candidate) {
				return true;
			}
		}
		return false;
	}

	private static String reason(ChainQuery query, int uncoveredLayer, Map<String, Integer> rejections) {
		String reason = "no usable engine continues at layer " + uncoveredLayer + " of model " + query.model();
		return (rejections.isEmpty()) ? reason : reason + "; unusable engines: " + rejections;
	}

}
