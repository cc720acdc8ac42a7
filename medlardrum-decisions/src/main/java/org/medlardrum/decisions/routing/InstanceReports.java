package org.medlardrum.decisions.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.medlardrum.state.routing.ServiceInstance;

/**
 * Keeps the newest known report of each server, so that a registry that was restored from
 * an older copy reverts none. A server never stops draining within one start. For a while
 * after a restore, a report that is older than a known one is replaced by it, and a
 * server whose entry was removed before stays removed until it reports again. Not
 * thread-safe.
 *
 * <pre>
 * InstanceReports reports = new InstanceReports();
 * reports.recordRestore(nowMs);
 * List&lt;ServiceInstance&gt; current = reports.update(registered, nowMs);
 * </pre>
 */
public final class InstanceReports {

	/**
	 * Time after a restore for which older reports are not believed. A server that is
	 * alive reports within it, and the entry of one that is not has expired: the users'
	 * servers report every 1.2 s, and an entry expires after three missed reports.
	 */
	public static final long RESTORE_WINDOW_MS = 4_000;

	/** Time for which a removed server is remembered; store copies are seconds old. */
	private static final long REMOVED_RETENTION_MS = 60_000;

	private Map<String, ServiceInstance> newest = Map.of();

	private final Map<String, Removed> removed = new HashMap<>();

	private long restoredAtMs = Long.MIN_VALUE / 2;

	/**
	 * Records that the registry was restored from an older copy.
	 * @param nowMs current time on the monotonic clock
	 */
	public void recordRestore(long nowMs) {
		this.restoredAtMs = nowMs;
	}

	/**
	 * Returns whether older reports are not believed at a time.
	 * @param nowMs current time on the monotonic clock
	 * @return {@code true} for a while after a restore
	 */
	public boolean isRestoring(long nowMs) {
		return nowMs - this.restoredAtMs < RESTORE_WINDOW_MS;
	}

	/**
	 * Replaces the reports by those of the registry.
	 * @param registered the servers in the registry
	 * @param nowMs current time on the monotonic clock
	 * @return the servers with their newest known reports
	 */
	public List<ServiceInstance> update(Collection<ServiceInstance> registered, long nowMs) {
		Map<String, ServiceInstance> next = new HashMap<>();
		for (ServiceInstance report : registered) {
			if (!isRemoved(report, nowMs)) {
				next.put(report.id(), newestOf(report, this.newest.get(report.id()), nowMs));
			}
		}
		this.newest.forEach((id, instance) -> {
			if (!next.containsKey(id)) {
				this.removed.putIfAbsent(id, new Removed(instance, nowMs));
			}
		});
		this.removed.values()
			.removeIf((entry) -> next.containsKey(entry.last.id()) || nowMs - entry.atMs > REMOVED_RETENTION_MS);
		this.newest = next;
		return new ArrayList<>(next.values());
	}

	private boolean isRemoved(ServiceInstance report, long nowMs) {
		Removed entry = this.removed.get(report.id());
		return entry != null && isRestoring(nowMs) && entry.atMs <= this.restoredAtMs
				&& !report.isNewerThan(entry.last);
	}

	private ServiceInstance newestOf(ServiceInstance report, ServiceInstance known, long nowMs) {
		if (known == null) {
			return report;
		}
		if (isRestoring(nowMs) && known.isNewerThan(report)) {
			return known;
		}
		return (known.draining() && known.isSameStart(report)) ? report.asDraining() : report;
	}

	/**
	 * A server whose entry was removed.
	 *
	 * @param last its last report
	 * @param atMs time of the removal on the monotonic clock
	 */
	private record Removed(ServiceInstance last, long atMs) {
	}

}
