package org.medlardrum.gateway.internal.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.transport.api.IoExecutor;
import org.medlardrum.decisions.admission.AdmissionRequest;
import org.medlardrum.decisions.admission.AdmissionSettings;
import org.medlardrum.decisions.routing.RetryAfter;
import org.medlardrum.gateway.internal.log.DecisionLog;
import org.medlardrum.gateway.internal.state.FleetView;
import org.medlardrum.gateway.internal.state.GatewayState;
import org.medlardrum.state.routing.ModelPool;
import org.medlardrum.state.routing.RoutedService;
import org.medlardrum.state.routing.RoutingTable;
import org.medlardrum.state.routing.ServiceInstance;
import org.medlardrum.state.routing.ServiceRoute;

/**
 * Admission of requests to all services of this host. Requests wait only where the
 * configuration has a pool with scarce links between zones: there a shortage of capacity
 * cannot be made up for in another zone.
 */
public final class ServiceAdmissions {

	/**
	 * Interval at which waiting requests are tried without a sign of free capacity; it
	 * covers engines that have loaded layers or are not suspect any more.
	 */
	private static final long RETRY_INTERVAL_MS = 50;

	/**
	 * Shortest interval between two rounds that a sign of free capacity causes. With 109
	 * hosts a digest arrives every 3 ms, and each round searches in vain up to four
	 * times.
	 */
	private static final long MIN_ROUND_INTERVAL_MS = 20;

	/** Interval at which the demand for the digests is computed. */
	private static final long DEMAND_INTERVAL_MS = 200;

	/** Limit of ranks in a digest for each service, and of services. */
	private static final int MAX_RANKS = 4;

	private static final int MAX_SERVICES = 2;

	private final GatewayState state;

	private final IoExecutor executor;

	private final DecisionLog log;

	private final RandomGenerator random;

	private final Map<String, ServiceAdmission> services = new HashMap<>();

	private final AtomicBoolean roundRequested = new AtomicBoolean();

	/** Number of waiting requests at the last round, for other threads. */
	private volatile int waiting;

	private volatile List<DemandReport> ownDemand = List.of();

	private boolean reportsDemand;

	private long roundAtMs = Long.MIN_VALUE / 2;

	private Cancellable timer;

	private long timerAtMs = Long.MAX_VALUE;

	private long arrivals;

	private RoutingTable checkedTable;

	private boolean scarceZoneLinks;

	/**
	 * Creates an admission for which no request waits.
	 * @param state routes and backend servers
	 * @param executor the event loop
	 * @param log the log
	 * @param random source of random numbers
	 */
	public ServiceAdmissions(GatewayState state, IoExecutor executor, DecisionLog log, RandomGenerator random) {
		this.state = state;
		this.executor = executor;
		this.log = log;
		this.random = random;
	}

	/**
	 * Records the arrival of a request.
	 * @param service the service
	 * @param route the route
	 * @param request the request, whose identifier need not be unique
	 * @param deadlineAtMs deadline of the request on the monotonic clock
	 * @return the admission of the request, empty if requests do not wait
	 */
	public Optional<RequestAdmission> recordArrival(RoutedService service, ServiceRoute route, AdmissionRequest request,
			long deadlineAtMs) {
		if (!applies(service)) {
			return Optional.empty();
		}
		ServiceAdmission admission = this.services.computeIfAbsent(service.name(),
				(name) -> new ServiceAdmission(name, AdmissionSettings.forTimeout(route.timeoutMs()),
						this.state.clock()::monotonicMs, () -> capacityWork(name), this::scheduleRetry, this.log));
		// Callers may send the same identifier twice.
		AdmissionRequest unique = new AdmissionRequest(request.id() + '/' + this.arrivals++,
				position(service, request.rank(), route.rank()), request.organisation(), request.work(),
				request.arrivedAtMs(), request.startByMs());
		admission.recordArrival(unique);
		if (!this.reportsDemand) {
			this.reportsDemand = true;
			updateOwnDemand();
		}
		return Optional.of(new RequestAdmission(admission, unique, request.id(), deadlineAtMs));
	}

	// Requests whose organisations have the same rank are ordered by the ranks of their
	// routes.
	private int position(RoutedService service, int rank, int routeRank) {
		return this.state.table().rankOrder(service.name()).position(rank, routeRank);
	}

	private boolean applies(RoutedService service) {
		return (service.pool().isPresent()) ? service.hasScarceZoneLinks() : hasScarceZoneLinks();
	}

	private boolean hasScarceZoneLinks() {
		RoutingTable table = this.state.table();
		if (table != this.checkedTable) {
			this.checkedTable = table;
			this.scarceZoneLinks = table.services().stream().anyMatch(RoutedService::hasScarceZoneLinks);
		}
		return this.scarceZoneLinks;
	}

	private double capacityWork(String name) {
		FleetView fleet = this.state.fleet();
		Optional<RoutedService> service = this.state.table().service(name);
		if (service.isPresent() && service.get().pool().isPresent()) {
			ModelPool pool = service.get().pool().get();
			return fleet.poolServers(service.get())
				.stream()
				.mapToDouble((server) -> pool.tokenLayerCapacity(server.acceleratorKind(), server.layers().length()))
				.sum();
		}
		return fleet.instances(name)
			.stream()
			.filter((server) -> !server.draining())
			.mapToDouble(ServiceInstance::slots)
			.sum();
	}

	/**
	 * Returns the share of a service's capacity that a request leaves to more urgent
	 * ranks and to other organisations.
	 * @param service the service
	 * @param rank rank of the request
	 * @param routeRank rank of its route
	 * @param organisation organisation of the caller
	 * @return the share, empty if requests of the service do not wait at this host
	 */
	public OptionalDouble reservedShare(RoutedService service, int rank, int routeRank, String organisation) {
		ServiceAdmission admission = this.services.get(service.name());
		return (admission != null && applies(service))
				? OptionalDouble.of(admission.reservedShare(position(service, rank, routeRank), organisation))
				: OptionalDouble.empty();
	}

	/**
	 * Records that capacity may have become free. May be called by any thread.
	 */
	public void recordFreed() {
		if (this.waiting > 0 && this.roundRequested.compareAndSet(false, true)) {
			this.executor.execute(() -> {
				long waitMs = this.roundAtMs + MIN_ROUND_INTERVAL_MS - this.state.clock().monotonicMs();
				if (waitMs > 0) {
					this.executor.schedule(this::runRounds, waitMs, TimeUnit.MILLISECONDS);
				}
				else {
					runRounds();
				}
			});
		}
	}

	private void runRounds() {
		this.roundRequested.set(false);
		this.roundAtMs = this.state.clock().monotonicMs();
		boolean more = false;
		for (ServiceAdmission service : this.services.values()) {
			more |= service.size() > 0 && service.runRound();
		}
		scheduleRetry();
		if (more) {
			recordFreed();
		}
	}

	// Runs the next round after the retry interval, or when the first waiting request
	// cannot be started in time any more.
	private void scheduleRetry() {
		this.waiting = this.services.values().stream().mapToInt(ServiceAdmission::size).sum();
		if (this.waiting == 0) {
			return;
		}
		long nowMs = this.state.clock().monotonicMs();
		long dueAtMs = this.services.values()
			.stream()
			.mapToLong(ServiceAdmission::earliestStartByMs)
			.reduce(nowMs + RETRY_INTERVAL_MS, Math::min);
		if (dueAtMs < this.timerAtMs) {
			if (this.timer != null) {
				this.timer.cancel();
			}
			this.timerAtMs = dueAtMs;
			this.timer = this.executor.schedule(this::onTimer, Math.max(1, dueAtMs - nowMs), TimeUnit.MILLISECONDS);
		}
	}

	private void onTimer() {
		this.timer = null;
		this.timerAtMs = Long.MAX_VALUE;
		runRounds();
	}

	/**
	 * Refuses all waiting requests because the host stops. May be called by any thread.
	 */
	public void stop() {
		this.executor.execute(() -> {
			this.services.values().forEach((service) -> service.stop(() -> RetryAfter.otherHostMs(this.random)));
			scheduleRetry();
		});
	}

	/**
	 * Ends the waiting requests that the configuration does not admit any more. May be
	 * called by any thread.
	 */
	public void recheck() {
		if (this.waiting > 0) {
			this.executor.execute(() -> this.services.values().forEach(ServiceAdmission::recheck));
		}
	}

	/**
	 * Returns the demand at this host for its digests. May be called by any thread.
	 * @return the demand of each service and rank that has any
	 */
	public List<DemandReport> ownDemand() {
		return this.ownDemand;
	}

	// Ends once there has been no demand for some time.
	private void updateOwnDemand() {
		this.ownDemand = this.services.values()
			.stream()
			.map((service) -> service.demand(MAX_RANKS))
			.filter((reports) -> !reports.isEmpty())
			.sorted(Comparator
				.comparingDouble((reports) -> -reports.stream().mapToDouble(DemandReport::demandPerS).sum()))
			.limit(MAX_SERVICES)
			.flatMap(List::stream)
			.toList();
		this.reportsDemand = !this.ownDemand.isEmpty();
		if (this.reportsDemand) {
			this.executor.schedule(this::updateOwnDemand, DEMAND_INTERVAL_MS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Records the demand at another host. May be called by any thread.
	 * @param hostId identifier of the host
	 * @param reports its reports
	 */
	public void updatePeer(String hostId, List<DemandReport> reports) {
		this.executor.execute(() -> this.services.forEach((name, service) -> {
			List<DemandReport> ofService = reports.stream().filter((report) -> report.service().equals(name)).toList();
			if (!ofService.isEmpty()) {
				service.updatePeer(hostId, ofService);
			}
		}));
	}

	/**
	 * Returns the number of waiting requests. May be called by any thread; the number
	 * includes requests that have ended since the last round.
	 * @return the number, over all services
	 */
	public int waiting() {
		return this.waiting;
	}

	/**
	 * Returns the number of waiting requests of a rank.
	 * @param rank the rank
	 * @return the number, over all services
	 */
	public int waiting(int rank) {
		return this.services.values().stream().mapToInt((service) -> service.size(rank)).sum();
	}

	/**
	 * Returns how long the request that arrived first has waited.
	 * @return the time in milliseconds, 0 if no request waits
	 */
	public long oldestWaitMs() {
		return this.services.values().stream().mapToLong(ServiceAdmission::oldestWaitMs).max().orElse(0);
	}

	/**
	 * Returns the largest share of a service's capacity that work of a rank leaves to
	 * more urgent ranks.
	 * @param rank the rank
	 * @return the share, 0 if requests do not wait
	 */
	public double largestReservedShare(int rank) {
		return this.services.values().stream().mapToDouble((service) -> service.reservedShare(rank)).max().orElse(0);
	}

}
