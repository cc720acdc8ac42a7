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
 * A pool of engines with the entry hosts before it, under one policy and one load.
 *
 * <pre>
 * List&lt;StreamResult&gt; results = new PoolModel(experiment, policy).run();
 * </pre>
 */
final class PoolModel {

	private static final double MS_PER_S = 1_000;

	/** Time after the last arrival in which streams may end. */
	private static final double END_MS = 30_000;

	/** Relative spread of the lengths of prompts and answers, from the users' sheets. */
	private static final double LENGTH_SPREAD = 0.8;

	/** Longest length relative to the mean, from the users' sheets. */
	private static final double MAX_LENGTH = 2.5;

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

	private final Random drawnZones;

	PoolModel(ExperimentFile experiment, RoutingPolicy policy) {
		this.experiment = experiment;
		this.policy = policy;
		this.pool = pool(experiment);
		this.link = new ZoneLinkModel(this.queue, this.pool);
		this.drawnZones = new Random(experiment.seed() + 1);
		place();
		new TreeMap<>(experiment.hostsPerZone()).forEach((zone, count) -> {
			for (int i = 0; i < count; i++) {
				this.hosts.add(new HostModel(this, zone));
			}
		});
	}

	private static ModelPool pool(ExperimentFile experiment) {
		ExperimentFile.Pool figures = experiment.pool();
		Map<String, AcceleratorKind> kinds = new HashMap<>();
		figures.kinds()
			.forEach((name, kind) -> kinds.put(name,
					new AcceleratorKind(name, kind.memoryMb(), kind.stepFactor(), kind.readFactor())));
		List<String> zones = experiment.engines().stream().map(ExperimentFile.EngineGroup::zone).distinct().toList();
		Map<String, Double> delays = new HashMap<>();
		zones.forEach((one) -> zones.forEach((other) -> {
			if (!one.equals(other)) {
				delays.put(ModelPool.zonePairKey(one, other), figures.zoneDelayMs());
			}
		}));
		return new ModelPool(experiment.name(), figures.layers(), figures.layerMb(), figures.kvBytesPerToken(),
				figures.stepMs(), figures.perSequenceMs(), figures.contextMsPerKiloToken(), figures.readTokensPerMs(),
				1, kinds, delays, figures.activationBytes(), figures.zoneLinkMbps(),
				experiment.requests().getFirst().promptTokens(), experiment.requests().getFirst().answerTokens());
	}

	private void place() {
		List<PlacementServer> fleet = new ArrayList<>();
		for (ExperimentFile.EngineGroup group : this.experiment.engines()) {
			AcceleratorKind kind = this.pool.kinds().get(group.kind());
			if (kind == null) {
				throw new IllegalArgumentException("Kind '" + group.kind() + "' of zone '" + group.zone()
						+ "' is not among the pool's kinds " + this.pool.kinds().keySet());
			}
			for (int i = 0; i < group.count(); i++) {
				fleet.add(new PlacementServer(group.kind() + '-' + group.zone() + '-' + i, "", group.zone(), kind,
						Optional.empty()));
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

	int pieceTokens() {
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
	 * @param first the zone whose chain comes first
	 * @return the chains
	 */
	List<List<ChainHop>> zoneChains(String first) {
		return this.chainByZone.entrySet()
			.stream()
			.sorted(Comparator.comparing((Map.Entry<String, List<ChainHop>> entry) -> !entry.getKey().equals(first)))
			.map(Map.Entry::getValue)
			.toList();
	}

	String drawZone(Set<String> excluded, String ownZone) {
		return ChainZones.randomFailoverZone(this.registered.values(), excluded, ownZone, this.drawnZones);
	}

	/**
	 * Replays the load.
	 * @return what each caller got, in the order of the ends
	 */
	List<StreamResult> run() {
		scheduleArrivals();
		scheduleLosses();
		if (this.policy instanceof RoutingPolicy.ChainSearching searching) {
			for (int i = 0; i < this.hosts.size(); i++) {
				HostModel host = this.hosts.get(i);
				this.queue.after((double) searching.digestMs() * i / this.hosts.size(),
						() -> tellAgain(host, searching.digestMs()));
			}
		}
		this.queue.runUntil(this.experiment.durationS() * MS_PER_S + END_MS);
		this.streams.forEach(StreamModel::cutOff);
		return List.copyOf(this.results);
	}

	private void tellAgain(HostModel host, long digestMs) {
		host.tell();
		this.queue.after(digestMs, () -> tellAgain(host, digestMs));
	}

	// Arrivals depend on the seed only, so that all policies get the same ones.
	private void scheduleArrivals() {
		for (ExperimentFile.RequestKind kind : this.experiment.requests()) {
			Random random = new Random(this.experiment.seed() * 31 + kind.name().hashCode());
			double highest = this.experiment.floods()
				.stream()
				.mapToDouble(ExperimentFile.Flood::factor)
				.reduce(1, (one, other) -> one * Math.max(1, other));
			double atMs = 0;
			while (true) {
				atMs += -Math.log(1 - random.nextDouble()) * MS_PER_S / (kind.perS() * highest);
				if (atMs >= this.experiment.durationS() * MS_PER_S) {
					break;
				}
				HostModel host = this.hosts.get(random.nextInt(this.hosts.size()));
				int organisation = random.nextInt(kind.organisations());
				int prompt = length(random, kind.promptTokens());
				int events = Math.max(1, length(random, kind.answerTokens()) / tokensPerEvent());
				boolean comes = random.nextDouble() * highest < factor(kind, host.zone(), atMs / MS_PER_S);
				if (comes) {
					this.queue.after(atMs, () -> {
						StreamModel stream = new StreamModel(this, host, kind, organisation, prompt, events,
								this.results::add);
						this.streams.add(stream);
						stream.begin();
					});
				}
			}
		}
	}

	private double factor(ExperimentFile.RequestKind kind, String zone, double atS) {
		double factor = 1;
		for (ExperimentFile.Flood flood : this.experiment.floods()) {
			boolean fits = (flood.kind() == null || flood.kind().equals(kind.name()))
					&& (flood.zone() == null || flood.zone().equals(zone));
			if (fits && atS >= flood.fromS() && atS < flood.fromS() + flood.forS()) {
				factor *= flood.factor();
			}
		}
		return factor;
	}

	// A log-normal length with the given mean.
	private static int length(Random random, int mean) {
		double sigma = Math.sqrt(Math.log(1 + LENGTH_SPREAD * LENGTH_SPREAD));
		double length = mean * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
		return (int) Math.max(1, Math.min(mean * MAX_LENGTH, length));
	}

	private void scheduleLosses() {
		Random random = new Random(this.experiment.seed() + 2);
		for (ExperimentFile.Loss loss : this.experiment.losses()) {
			List<EngineModel> fitting = new ArrayList<>(this.engines.values()
				.stream()
				.filter((engine) -> loss.zone() == null || loss.zone().equals(engine.server().availabilityZone()))
				.filter((engine) -> loss.kind() == null || loss.kind().equals(engine.server().acceleratorKind().name()))
				.toList());
			Collections.shuffle(fitting, random);
			fitting.stream()
				.limit(loss.count())
				.forEach((engine) -> this.queue.after(loss.atS() * MS_PER_S, () -> lose(engine, loss.forS())));
		}
	}

	private void lose(EngineModel engine, double forS) {
		engine.die();
		this.queue.after(this.experiment.pool().engine().registryMs(), () -> {
			if (engine.isDead()) {
				this.registered.remove(engine.server().id());
			}
		});
		if (forS > 0) {
			this.queue.after(forS * MS_PER_S, () -> {
				engine.comeBack();
				this.registered.put(engine.server().id(), engine.server());
			});
		}
	}

}
