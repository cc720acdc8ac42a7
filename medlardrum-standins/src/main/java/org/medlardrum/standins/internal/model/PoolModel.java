package org.medlardrum.standins.internal.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.medlardrum.decisions.pool.ChainHop;
import org.medlardrum.decisions.pool.ChainRequest;
import org.medlardrum.decisions.pool.ChainSearch;
import org.medlardrum.decisions.pool.ChainZones;
import org.medlardrum.decisions.pool.LayerPlanner;
import org.medlardrum.decisions.pool.PlacementServer;
import org.medlardrum.decisions.pool.PoolServer;
import org.medlardrum.decisions.pool.PoolSnapshot;
import org.medlardrum.state.LayerRange;
import org.medlardrum.state.routing.AcceleratorKind;
import org.medlardrum.state.routing.ModelPool;

/**
 * Model of a pool of engines and its entry hosts, under one routing policy and one load.
 *
 * <pre>
 * List&lt;StreamResult&gt; results = new PoolModel(experiment, policy).run();
 * </pre>
 */
final class PoolModel {

	private static final double MS_PER_S = 1_000;

	/** Time after the arrivals have ended during which streams may still end. */
	private static final double DRAIN_MS = 30_000;

	/**
	 * Standard deviation of the lengths of prompts and completions relative to the mean,
	 * from the load descriptions of the users.
	 */
	private static final double LENGTH_SPREAD = 0.8;

	/** Maximum length relative to the mean, from the load descriptions of the users. */
	private static final double MAX_LENGTH_FACTOR = 2.5;

	private final ExperimentFile experiment;

	private final RoutingPolicy policy;

	private final SimulationQueue queue = new SimulationQueue();

	private final ModelPool pool;

	private final ZoneLinkModel link;

	private final Map<String, EngineModel> engines = new LinkedHashMap<>();

	private final Map<String, PoolServer> registered = new LinkedHashMap<>();

	private final List<HostModel> hosts = new ArrayList<>();

	private final Map<String, List<ChainHop>> chainByZone = new TreeMap<>();

	private final List<StreamModel> streams = new ArrayList<>();

	private final List<StreamResult> results = new ArrayList<>();

	private final Random failoverZoneRandom;

	PoolModel(ExperimentFile experiment, RoutingPolicy policy) {
		this.experiment = experiment;
		this.policy = policy;
		this.pool = pool(experiment);
		this.link = new ZoneLinkModel(this.queue, this.pool);
		this.failoverZoneRandom = new Random(experiment.seed() + 1);
		placeEngines();
		new TreeMap<>(experiment.hostsPerZone()).forEach((zone, count) -> {
			for (int i = 0; i < count; i++) {
				this.hosts.add(new HostModel(this, zone));
			}
		});
	}

	private static ModelPool pool(ExperimentFile experiment) {
		ExperimentFile.Pool parameters = experiment.pool();
		Map<String, AcceleratorKind> kinds = new HashMap<>();
		parameters.kinds()
			.forEach((name, kind) -> kinds.put(name,
					new AcceleratorKind(name, kind.memoryMb(), kind.stepFactor(), kind.readFactor())));
		List<String> zones = experiment.engines().stream().map(ExperimentFile.EngineGroup::zone).distinct().toList();
		Map<String, Double> delays = new HashMap<>();
		zones.forEach((one) -> zones.forEach((other) -> {
			if (!one.equals(other)) {
				delays.put(ModelPool.zonePairKey(one, other), parameters.zoneDelayMs());
			}
		}));
		return new ModelPool(experiment.name(), parameters.layers(), parameters.layerMb(), parameters.kvBytesPerToken(),
				parameters.stepMs(), parameters.perSequenceMs(), parameters.contextMsPerKiloToken(),
				parameters.readTokensPerMs(), 1, kinds, delays, parameters.activationBytes(), parameters.zoneLinkMbps(),
				experiment.requests().getFirst().promptTokens(), experiment.requests().getFirst().answerTokens());
	}

	private void placeEngines() {
		List<PlacementServer> fleet = new ArrayList<>();
		for (ExperimentFile.EngineGroup group : this.experiment.engines()) {
			AcceleratorKind kind = this.pool.kinds().get(group.kind());
			if (kind == null) {
				throw new IllegalArgumentException("Kind '" + group.kind() + "' of zone '" + group.zone()
						+ "' is not among the pool's kinds " + this.pool.kinds().keySet());
			}
			for (int i = 0; i < group.count(); i++) {
				fleet.add(new PlacementServer(group.kind() + '-' + group.zone() + '-' + i, "", group.zone(), kind,
						Optional.empty(), this.experiment.pool().engine().slots()));
			}
		}
		Map<String, LayerRange> plan = new LayerPlanner(this.pool).plan(fleet);
		for (PlacementServer server : fleet) {
			LayerRange range = plan.get(server.id());
			if (range != null) {
				PoolServer engine = new PoolServer(server.id(), server.address(), server.availabilityZone(),
						server.acceleratorKind(), range, this.experiment.pool().engine().slots());
				this.engines.put(engine.id(),
						new EngineModel(this.queue, this.pool, this.experiment.pool().engine(), engine));
				this.registered.put(engine.id(), engine);
			}
		}
		for (String zone : fleet.stream().map(PlacementServer::availabilityZone).distinct().sorted().toList()) {
			List<PoolServer> own = this.registered.values()
				.stream()
				.filter((server) -> server.availabilityZone().equals(zone))
				.toList();
			new ChainSearch(new PoolSnapshot(this.pool, own, Map.of(), (from, server) -> false))
				.find(new ChainRequest(1, 1, 0, zone))
				.ifPresent((chain) -> this.chainByZone.put(zone, chain));
		}
	}

	SimulationQueue queue() {
		return this.queue;
	}

	long nowMs() {
		return (long) this.queue.nowMs();
	}

	ModelPool pool() {
		return this.pool;
	}

	ZoneLinkModel link() {
		return this.link;
	}

	RoutingPolicy policy() {
		return this.policy;
	}

	List<HostModel> hosts() {
		return this.hosts;
	}

	EngineModel engine(PoolServer server) {
		return this.engines.get(server.id());
	}

	List<PoolServer> registered() {
		return List.copyOf(this.registered.values());
	}

	int tokensPerEvent() {
		return this.experiment.pool().engine().tokensPerEvent();
	}

	int prefillChunkTokens() {
		return this.experiment.pool().engine().pieceTokens();
	}

	long urgentDigestMs() {
		return switch (this.policy) {
			case RoutingPolicy.NearestChain nearest -> 0;
			case RoutingPolicy.ChainSearching searching -> searching.urgentDigestMs();
		};
	}

	/**
	 * Returns one chain for each availability zone.
	 * @param first availability zone whose chain comes first
	 * @return the chains
	 */
	List<List<ChainHop>> zoneChains(String first) {
		return this.chainByZone.entrySet()
			.stream()
			.sorted(Comparator.comparing((Map.Entry<String, List<ChainHop>> entry) -> !entry.getKey().equals(first)))
			.map(Map.Entry::getValue)
			.toList();
	}

	String randomFailoverZone(Set<String> excluded, String ownZone) {
		return ChainZones.randomFailoverZone(this.registered.values(), excluded, ownZone, this.failoverZoneRandom);
	}

	/**
	 * Replays the load.
	 * @return the results of all streams, in the order in which they ended
	 */
	List<StreamResult> run() {
		scheduleArrivals();
		scheduleFailures();
		if (this.policy instanceof RoutingPolicy.ChainSearching searching) {
			for (int i = 0; i < this.hosts.size(); i++) {
				HostModel host = this.hosts.get(i);
				this.queue.schedule((double) searching.digestMs() * i / this.hosts.size(),
						() -> sendDigestsPeriodically(host, searching.digestMs()));
			}
		}
		this.queue.runUntil(this.experiment.durationS() * MS_PER_S + DRAIN_MS);
		this.streams.forEach(StreamModel::abort);
		return List.copyOf(this.results);
	}

	private void sendDigestsPeriodically(HostModel host, long digestMs) {
		host.sendDigest();
		this.queue.schedule(digestMs, () -> sendDigestsPeriodically(host, digestMs));
	}

	// Arrivals depend only on the experiment and its seed, so that all policies get the
	// same arrivals. Arrival times are drawn at the largest possible rate, and an arrival
	// is accepted with the ratio of the current rate to that rate as its probability.
	private void scheduleArrivals() {
		for (ExperimentFile.RequestKind kind : this.experiment.requests()) {
			Random random = new Random(this.experiment.seed() * 31 + kind.name().hashCode());
			double maxFactor = this.experiment.floods()
				.stream()
				.mapToDouble(ExperimentFile.Flood::factor)
				.reduce(1, (one, other) -> one * Math.max(1, other));
			double atMs = 0;
			while (true) {
				atMs += -Math.log(1 - random.nextDouble()) * MS_PER_S / (kind.perS() * maxFactor);
				if (atMs >= this.experiment.durationS() * MS_PER_S) {
					break;
				}
				HostModel host = this.hosts.get(random.nextInt(this.hosts.size()));
				int organisation = random.nextInt(kind.organisations());
				int prompt = randomLength(random, kind.promptTokens());
				int events = Math.max(1, randomLength(random, kind.answerTokens()) / tokensPerEvent());
				boolean accepted = random.nextDouble() * maxFactor < arrivalFactor(kind, host.zone(), atMs / MS_PER_S);
				if (accepted) {
					this.queue.schedule(atMs, () -> {
						StreamModel stream = new StreamModel(this, host, kind, organisation, prompt, events,
								this.results::add);
						this.streams.add(stream);
						stream.start();
					});
				}
			}
		}
	}

	private double arrivalFactor(ExperimentFile.RequestKind kind, String zone, double atS) {
		double factor = 1;
		for (ExperimentFile.Flood flood : this.experiment.floods()) {
			boolean matches = (flood.kind() == null || flood.kind().equals(kind.name()))
					&& (flood.zone() == null || flood.zone().equals(zone));
			if (matches && atS >= flood.fromS() && atS < flood.fromS() + flood.forS()) {
				factor *= flood.factor();
			}
		}
		return factor;
	}

	// Draws a length from a log-normal distribution with the given mean.
	private static int randomLength(Random random, int mean) {
		double sigma = Math.sqrt(Math.log(1 + LENGTH_SPREAD * LENGTH_SPREAD));
		double length = mean * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
		return (int) Math.max(1, Math.min(mean * MAX_LENGTH_FACTOR, length));
	}

	private void scheduleFailures() {
		Random random = new Random(this.experiment.seed() + 2);
		for (ExperimentFile.Loss loss : this.experiment.losses()) {
			List<EngineModel> candidates = new ArrayList<>(this.engines.values()
				.stream()
				.filter((engine) -> loss.zone() == null || loss.zone().equals(engine.server().availabilityZone()))
				.filter((engine) -> loss.kind() == null || loss.kind().equals(engine.server().acceleratorKind().name()))
				.toList());
			Collections.shuffle(candidates, random);
			candidates.stream()
				.limit(loss.count())
				.forEach((engine) -> this.queue.schedule(loss.atS() * MS_PER_S, () -> failEngine(engine, loss.forS())));
		}
	}

	private void failEngine(EngineModel engine, double forS) {
		engine.fail();
		this.queue.schedule(this.experiment.pool().engine().registryMs(), () -> {
			if (engine.isFailed()) {
				this.registered.remove(engine.server().id());
			}
		});
		if (forS > 0) {
			this.queue.schedule(forS * MS_PER_S, () -> {
				engine.recover();
				this.registered.put(engine.server().id(), engine.server());
			});
		}
	}

}
