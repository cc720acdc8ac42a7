package org.medlardrum.entry.internal.host;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.medlardrum.coordination.gossip.Gossip;
import org.medlardrum.coordination.internal.BackgroundThread;
import org.medlardrum.coordination.membership.Membership;
import org.medlardrum.decisions.AdmissionLimits;
import org.medlardrum.decisions.HostShares;
import org.medlardrum.decisions.RankLimits;
import org.medlardrum.entry.internal.admission.AdmissionController;
import org.medlardrum.entry.internal.admission.PoolStatus;
import org.medlardrum.entry.internal.fleet.Fleet;
import org.medlardrum.entry.internal.fleet.FleetView;
import org.medlardrum.entry.internal.route.RouteTable;
import org.medlardrum.entry.internal.service.CallTimes;
import org.medlardrum.peer.gen.OrganisationDemand;
import org.medlardrum.peer.gen.RankDemand;
import org.medlardrum.state.BackendServerKind;
import org.medlardrum.state.FleetSnapshot;
import org.medlardrum.state.Rank;
import org.medlardrum.state.config.Configuration;
import org.medlardrum.state.config.PoolConfig;

/**
 * The thread {@code tuner}: sets this host's part of each pool from the pool's capacity
 * and the demand of all hosts, and publishes the own demand.
 */
public final class PoolTuner implements AutoCloseable {

	private static final long INTERVAL_MS = 500;

	private final String hostId;

	private final Membership membership;

	private final Gossip gossip;

	private final Fleet fleet;

	private final AdmissionController admission;

	private final CallTimes callTimes;

	private final BackgroundThread thread = new BackgroundThread("tuner", this::step);

	private volatile RouteTable table;

	/**
	 * Creates a tuner. {@link #start} starts the thread.
	 * @param hostId name of this host
	 * @param membership the live hosts
	 * @param gossip demand of the other hosts
	 * @param fleet knowledge about the backend servers
	 * @param admission the queues to tune
	 * @param callTimes measured times of plain-service calls
	 */
	public PoolTuner(String hostId, Membership membership, Gossip gossip, Fleet fleet, AdmissionController admission,
			CallTimes callTimes) {
		this.hostId = hostId;
		this.membership = membership;
		this.gossip = gossip;
		this.fleet = fleet;
		this.admission = admission;
		this.callTimes = callTimes;
	}

	/**
	 * Starts the thread.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public void close() {
		this.thread.close();
	}

	/**
	 * Sets the configuration in force.
	 * @param value the configuration
	 */
	public void configure(RouteTable value) {
		this.table = value;
		this.thread.wake();
	}

	long step() {
		RouteTable current = this.table;
		if (current != null) {
			publishDemand();
			this.admission.update(limits(current.configuration()));
		}
		return INTERVAL_MS;
	}

	private void publishDemand() {
		List<RankDemand> ranks = new ArrayList<>();
		List<OrganisationDemand> organisations = new ArrayList<>();
		for (PoolStatus pool : this.admission.status()) {
			ranks.addAll(pool.rankDemand());
			organisations.addAll(pool.organisationDemand());
		}
		this.gossip.publishDemand(ranks, organisations);
	}

	private Map<String, AdmissionLimits> limits(Configuration configuration) {
		Map<Rank, RankLimits> ranks = new EnumMap<>(Rank.class);
		configuration.ranks()
			.forEach((rank, config) -> ranks.put(rank, new RankLimits(config.floorShare(), config.maxQueueMs())));
		Map<String, Double> weights = new HashMap<>();
		configuration.organisations().forEach((name, config) -> weights.put(name, config.weight()));
		FleetView view = this.fleet.view();
		int liveHosts = this.membership.livePeers().size() + 1;
		Map<String, AdmissionLimits> limits = new HashMap<>();
		configuration.pools().forEach((name, pool) -> {
			PoolCapacity capacity = capacity(configuration, view, name, pool);
			if (capacity.slots() > 0) {
				HostShares shares = HostShares.of(this.hostId, this.gossip.demands(name), liveHosts, weights,
						capacity.costPerS());
				Map<String, Double> allowances = new HashMap<>();
				weights.keySet()
					.forEach((organisation) -> allowances.put(organisation, shares.organisationCostPerS(organisation)));
				limits.put(name,
						new AdmissionLimits((int) Math.max(1, Math.ceil(shares.windowShare() * capacity.slots())),
								shares.windowShare() * capacity.costPerS(), ranks, allowances));
			}
		});
		return limits;
	}

	private PoolCapacity capacity(Configuration configuration, FleetView view, String name, PoolConfig pool) {
		if (pool.kind() == BackendServerKind.SERVICE) {
			return PoolCapacity.ofServices(view.services().getOrDefault(name, List.of()), pool.maxInFlightPerServer(),
					this.callTimes.meanMs(name));
		}
		FleetSnapshot snapshot = view.engines().get(name);
		int layers = configuration.models()
			.values()
			.stream()
			.filter((model) -> name.equals(model.pool()))
			.mapToInt((model) -> model.layers())
			.max()
			.orElse(0);
		return (snapshot != null && layers > 0) ? PoolCapacity.ofEngines(snapshot, layers) : PoolCapacity.NONE;
	}

}
