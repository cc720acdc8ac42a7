package org.medlardrum.decisions.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.medlardrum.state.routing.ServerStart;
import org.medlardrum.state.routing.ServiceInstance;

/**
 * Engines that refused a chain because they do not hold the layers that their report
 * names. The report stays wrong until the engine writes a newer one and this host reads
 * it; a host that cannot read the registry would ask the engine again and again. A denial
 * holds for one start of a server, so that another server at the same address is not
 * affected. Thread-safe.
 *
 * <pre>
 * LayerDenials denials = new LayerDenials();
 * denials.record(report, nowMs);
 * denials.isDenied(report, nowMs); // true
 * </pre>
 */
public final class LayerDenials {

	/**
	 * Time after which an engine is asked again without a newer report. Engines load a
	 * tenth of their layers in about 1.4 s and report every 1.2 s.
	 */
	public static final long DENIAL_MS = 4_000;

	/** By start of the engine. */
	private final Map<ServerStart, Denial> denials = new HashMap<>();

	/**
	 * Records that an engine does not hold the layers of its report.
	 * @param report report of the engine for which the chain was chosen
	 * @param nowMs current time on the monotonic clock
	 * @return {@code false} if the engine was denied for this report before
	 */
	public synchronized boolean record(ServiceInstance report, long nowMs) {
		removeExpired(nowMs);
		boolean known = isDenied(report, nowMs);
		this.denials.merge(ServerStart.of(report), new Denial(report, nowMs + DENIAL_MS),
				(old, now) -> (old.report.isNewerThan(report)) ? old : now);
		return !known;
	}

	/**
	 * Returns whether an engine must not be part of a chain.
	 * @param report newest known report of the engine
	 * @param nowMs current time on the monotonic clock
	 * @return {@code false} once the report is newer than the denied one, or the time of
	 * the denial is over
	 */
	public synchronized boolean isDenied(ServiceInstance report, long nowMs) {
		if (this.denials.isEmpty()) {
			return false;
		}
		Denial denial = this.denials.get(ServerStart.of(report));
		return denial != null && denial.endMs > nowMs && !report.isNewerThan(denial.report);
	}

	/**
	 * Returns the denials as suspicions for the other hosts, whose copies of the registry
	 * may be old as well. An engine without its layers refuses predecessors of all zones,
	 * so it is suspect from its own zone.
	 * @param current newest known report of an engine by its identifier
	 * @param nowMs current time on the monotonic clock
	 * @return suspicions of engines whose reports are not newer than the denied ones
	 */
	public synchronized List<ServerSuspicions.Suspicion> toTell(Function<String, Optional<ServiceInstance>> current,
			long nowMs) {
		removeExpired(nowMs);
		return this.denials.values()
			.stream()
			.filter((denial) -> current.apply(denial.report.id()).filter((now) -> isDenied(now, nowMs)).isPresent())
			.map((denial) -> new ServerSuspicions.Suspicion(denial.report.availabilityZone(), denial.report.id(),
					denial.report.availabilityZone(),
					Math.min(ServerSuspicions.REFUSED_SUSPICION_MS, denial.endMs - nowMs)))
			.toList();
	}

	/**
	 * Returns the number of engines that were denied lately.
	 * @param nowMs current time on the monotonic clock
	 * @return the number of denials whose time is not over
	 */
	public synchronized int count(long nowMs) {
		removeExpired(nowMs);
		return this.denials.size();
	}

	private void removeExpired(long nowMs) {
		this.denials.values().removeIf((denial) -> denial.endMs <= nowMs);
	}

	/**
	 * State of a denial.
	 *
	 * @param report the report that was wrong
	 * @param endMs time at which the denial ends
	 */
	private record Denial(ServiceInstance report, long endMs) {
	}

}
