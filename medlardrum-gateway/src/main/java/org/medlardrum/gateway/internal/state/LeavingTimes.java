package org.medlardrum.gateway.internal.state;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.medlardrum.state.routing.ServiceInstance;

/**
 * Times at which servers began to leave. A server is leaving once it is draining, removed
 * or restarted. Written by one thread at a time, read by all.
 */
final class LeavingTimes {

	/**
	 * Time for which a removed server is still recorded as leaving; longer than any
	 * stream lasts.
	 */
	private static final long RETENTION_MS = 30_000;

	/** Times on the monotonic clock, by identifier. */
	private volatile Map<String, Long> sinceMs = Map.of();

	/**
	 * Compares the registered servers with the former ones.
	 * @param before the former servers
	 * @param after the registered servers
	 * @param nowMs current time on the monotonic clock
	 */
	void update(FleetView before, FleetView after, long nowMs) {
		Map<String, Long> leaving = new HashMap<>();
		for (ServiceInstance old : before.all()) {
			Optional<ServiceInstance> now = after.instance(old.id());
			if (now.isEmpty() || now.get().draining() || !now.get().isSameStart(old)) {
				leaving.put(old.id(), this.sinceMs.getOrDefault(old.id(), nowMs));
			}
		}
		this.sinceMs.forEach((id, since) -> {
			if (nowMs - since < RETENTION_MS && after.instance(id).map(ServiceInstance::draining).orElse(true)) {
				leaving.putIfAbsent(id, since);
			}
		});
		this.sinceMs = Map.copyOf(leaving);
	}

	/**
	 * Finds a server that has been leaving for at least a given time.
	 * @param ids identifiers of the servers
	 * @param ageMs the time in milliseconds
	 * @param nowMs current time on the monotonic clock
	 * @return the identifier of the first such server, empty if there is none
	 */
	Optional<String> findForAtLeast(Collection<String> ids, long ageMs, long nowMs) {
		Map<String, Long> leaving = this.sinceMs;
		if (leaving.isEmpty()) {
			return Optional.empty();
		}
		return ids.stream().filter((id) -> leaving.containsKey(id) && nowMs - leaving.get(id) >= ageMs).findFirst();
	}

}
