package org.medlardrum.gateway.internal.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.medlardrum.decisions.CrashLedger;
import org.medlardrum.decisions.FingerprintStatus;
import org.medlardrum.gateway.GatewayClock;
import org.medlardrum.gateway.internal.log.DecisionLog;
import org.medlardrum.gateway.internal.request.GatewayRequest;
import org.medlardrum.peer.gen.Rumour;
import org.medlardrum.peer.gen.RumourKind;

/**
 * Requests that run at each server, and those that are suspected of crashing servers or
 * quarantined for it. Statuses are shared with the other entry hosts, since the caller of
 * such a request sends it again through any of them.
 */
public final class RequestQuarantine {

	/**
	 * Duration of a quarantine and of a suspicion. A request that was suspected wrongly
	 * clears itself by completing.
	 */
	static final long QUARANTINE_MS = 60_000;

	/** Time for which a cleared suspicion is told to other hosts: several digests. */
	private static final long CLEARED_RETENTION_MS = 3_000;

	/**
	 * Shortest time between two probes of a server: its calls break within the lateness
	 * of a busy host, and it takes seconds to start again.
	 */
	static final long PROBE_INTERVAL_MS = 2_000;

	/** Limit of statuses in a digest; each takes about 30 bytes. */
	private static final int MAX_RUMOURS = 8;

	/** Limit of the attempts that a line about a crash names. */
	private static final int MAX_LOGGED_ATTEMPTS = 8;

	private final GatewayClock clock;

	private final DecisionLog log;

	private final CrashLedger ledger = new CrashLedger(QUARANTINE_MS);

	private final Map<String, Set<RunningAttempt>> runningByAddress = new HashMap<>();

	/** Times of the last probes on the monotonic clock, by address. */
	private final Map<String, Long> probedAtMs = new HashMap<>();

	/** Statuses that this host has cleared, with the time in Unix milliseconds. */
	private final Map<FingerprintStatus, Long> cleared = new HashMap<>();

	private volatile boolean empty = true;

	private volatile Runnable listener = () -> {
	};

	/**
	 * Creates an empty quarantine.
	 * @param clock the clocks; statuses use the wall clock, which the hosts share
	 * @param log the log
	 */
	public RequestQuarantine(GatewayClock clock, DecisionLog log) {
		this.clock = clock;
		this.log = log;
	}

	/**
	 * Sets the listener that runs when a status that other hosts should know has changed.
	 * @param newListener must not block
	 */
	public void onChange(Runnable newListener) {
		this.listener = newListener;
	}

	/**
	 * Records that a request is sent to a server.
	 * @param serverId identifier of the server instance
	 * @param address address of the server
	 * @param request the request
	 * @return the attempt, to be ended with {@link #recordEnd}
	 */
	public synchronized RunningAttempt recordStart(String serverId, String address, GatewayRequest request) {
		RunningAttempt attempt = new RunningAttempt(serverId, address, request);
		this.runningByAddress.computeIfAbsent(address, (key) -> new LinkedHashSet<>()).add(attempt);
		return attempt;
	}

	/**
	 * Records that the server has begun to answer an attempt.
	 * @param attempt the attempt
	 */
	public synchronized void recordBegun(RunningAttempt attempt) {
		attempt.recordBegun();
	}

	/**
	 * Records that an attempt has ended.
	 * @param attempt the attempt
	 */
	public synchronized void recordEnd(RunningAttempt attempt) {
		Set<RunningAttempt> running = this.runningByAddress.get(attempt.address());
		if (running != null) {
			running.remove(attempt);
			if (running.isEmpty()) {
				this.runningByAddress.remove(attempt.address());
			}
		}
	}

	/**
	 * Begins a probe of a server whose call broke. All calls break when a server crashes,
	 * so a server is probed once for all of them.
	 * @param address address of the server
	 * @return the attempts that run at the server, empty if it was probed lately
	 */
	public synchronized Optional<List<RunningAttempt>> tryBeginProbe(String address) {
		long nowMs = this.clock.monotonicMs();
		this.probedAtMs.values().removeIf((atMs) -> nowMs - atMs >= PROBE_INTERVAL_MS);
		if (this.probedAtMs.putIfAbsent(address, nowMs) != null) {
			return Optional.empty();
		}
		return Optional.of(List.copyOf(this.runningByAddress.getOrDefault(address, Set.of())));
	}

	/**
	 * Records the crash of a server.
	 * @param address address of the server
	 * @param attempts attempts that ran at the server
	 */
	public void recordCrash(String address, List<RunningAttempt> attempts) {
		Set<String> fingerprints = new HashSet<>();
		attempts.forEach((attempt) -> fingerprints.add(RequestFingerprint.of(attempt.request())));
		logCrash(address, attempts);
		synchronized (this) {
			long nowMs = this.clock.wallMs();
			List<FingerprintStatus> changed = this.ledger.recordCrash(address, Long.toString(nowMs), fingerprints,
					nowMs);
			changed.forEach((status) -> logStatus(status,
					"crash of " + address + " with " + fingerprints.size() + " different requests"));
			this.empty = this.ledger.entries().isEmpty();
		}
		this.listener.run();
	}

	/**
	 * Records that a request has completed, which clears a suspicion.
	 * @param request the request
	 */
	public void recordCompletion(GatewayRequest request) {
		if (this.empty) {
			return;
		}
		String fingerprint = RequestFingerprint.of(request);
		synchronized (this) {
			this.ledger.recordCompletion(fingerprint).ifPresent((status) -> {
				this.cleared.put(status, this.clock.wallMs());
				logStatus(status, "completed");
			});
			this.empty = this.ledger.entries().isEmpty();
		}
	}

	/**
	 * Returns for how long a request stays in quarantine.
	 * @param request the request
	 * @return the time in milliseconds, 0 if it is not in quarantine
	 */
	public long quarantinedForMs(GatewayRequest request) {
		if (this.empty) {
			return 0;
		}
		String fingerprint = RequestFingerprint.of(request);
		synchronized (this) {
			long nowMs = this.clock.wallMs();
			return Math.max(0, this.ledger.quarantinedUntilMs(fingerprint, nowMs) - nowMs);
		}
	}

	/**
	 * Returns the statuses for other hosts, those with the most crashes first.
	 * @return the statuses
	 */
	public synchronized List<Rumour> rumours() {
		if (this.empty && this.cleared.isEmpty()) {
			return List.of();
		}
		long nowMs = this.clock.wallMs();
		this.cleared.values().removeIf((atMs) -> nowMs - atMs > CLEARED_RETENTION_MS);
		this.ledger.expire(nowMs);
		this.empty = this.ledger.entries().isEmpty();
		List<Rumour> rumours = new ArrayList<>();
		this.ledger.entries()
			.stream()
			.sorted(Comparator.comparingInt(FingerprintStatus::crashes)
				.reversed()
				.thenComparing(Comparator.comparingLong(FingerprintStatus::untilMs).reversed()))
			.limit(MAX_RUMOURS)
			.forEach((status) -> rumours.add(rumour(status)));
		this.cleared.keySet().stream().limit(MAX_RUMOURS).forEach((status) -> rumours.add(rumour(status)));
		return rumours;
	}

	private void logCrash(String address, List<RunningAttempt> attempts) {
		List<RunningAttempt> notBegun = attempts.stream().filter(RunningAttempt::mayHaveCrashedServer).toList();
		this.log.event("quarantine", "crash", "address", address, "server",
				attempts.isEmpty() ? "none" : attempts.getFirst().serverId(), "attempts", attempts.size(), "notBegun",
				notBegun.stream().limit(MAX_LOGGED_ATTEMPTS).map(RequestQuarantine::describe).toList());
	}

	private static String describe(RunningAttempt attempt) {
		return attempt.request().id() + attempt.request().attributes().promptParts();
	}

	private void logStatus(FingerprintStatus status, String reason) {
		this.log.event("quarantine", status.kind().name().toLowerCase(Locale.ROOT), "fingerprint", status.fingerprint(),
				"crashes", status.crashes(), "reason", reason, "forMs",
				Math.max(0, status.untilMs() - this.clock.wallMs()));
	}

	private static Rumour rumour(FingerprintStatus status) {
		RumourKind kind = switch (status.kind()) {
			case QUARANTINED -> RumourKind.QUARANTINED;
			case SUSPECT -> RumourKind.SUSPECT;
			case CLEARED -> RumourKind.CLEARED;
		};
		return new Rumour(kind, status.fingerprint(), status.untilMs(), status.crashes());
	}

	/**
	 * Merges the statuses of another host.
	 * @param rumours the statuses
	 */
	public synchronized void merge(List<Rumour> rumours) {
		long nowMs = this.clock.wallMs();
		for (Rumour rumour : rumours) {
			FingerprintStatus.Kind kind = switch (rumour.getKind()) {
				case QUARANTINED -> FingerprintStatus.Kind.QUARANTINED;
				case SUSPECT -> FingerprintStatus.Kind.SUSPECT;
				case CLEARED, LEAVING -> FingerprintStatus.Kind.CLEARED;
			};
			FingerprintStatus status = new FingerprintStatus(kind, rumour.getSubject(), rumour.getCount(),
					rumour.getUntilMs());
			boolean wasQuarantined = this.ledger.quarantinedUntilMs(status.fingerprint(), nowMs) > 0;
			this.ledger.merge(status, nowMs);
			if (!wasQuarantined && this.ledger.quarantinedUntilMs(status.fingerprint(), nowMs) > 0) {
				logStatus(status, "told by another host");
			}
		}
		this.empty = this.ledger.entries().isEmpty();
	}

}
