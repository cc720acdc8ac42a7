package org.medlardrum.gateway.internal.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.medlardrum.decisions.crash.CrashEvidence;
import org.medlardrum.decisions.crash.Evidence;
import org.medlardrum.decisions.crash.Subject;
import org.medlardrum.decisions.crash.TrialTurns;
import org.medlardrum.decisions.crash.Verdict;
import org.medlardrum.gateway.GatewayClock;
import org.medlardrum.gateway.internal.log.DecisionLog;
import org.medlardrum.gateway.internal.request.GatewayRequest;
import org.medlardrum.state.routing.ServerStart;

/**
 * Requests that run at each server, and the parts of prompts and requests that are
 * suspected of crashing servers or quarantined for it. The evidence is shared with the
 * other entry hosts, since such requests come to any of them. While a part is suspected,
 * one request with it at a time is tried, and the others are held.
 */
public final class RequestQuarantine {

	/** Time for which evidence counts, and so the longest quarantine. */
	static final long QUARANTINE_MS = 60_000;

	/**
	 * Time for which a change of the evidence is told to other hosts: several digests.
	 */
	private static final long TELLING_MS = 3_000;

	/**
	 * Shortest time between two probes of a server: its calls break within the lateness
	 * of a busy host, and it takes seconds to start again.
	 */
	static final long PROBE_INTERVAL_MS = 2_000;

	/** Limit of evidence in a datagram; each takes about 45 bytes. */
	private static final int MAX_TOLD_EVIDENCE = 24;

	/** Limit of the attempts that a line about a crash names. */
	private static final int MAX_LOGGED_ATTEMPTS = 8;

	/** Accusations before clearances, and the latest first. */
	private static final Comparator<Evidence> TELLING_ORDER = Comparator.comparing(Evidence::state)
		.thenComparing(Evidence::ageMs);

	private final GatewayClock clock;

	private final DecisionLog log;

	private final String hostId;

	private final CrashEvidence evidence = new CrashEvidence(QUARANTINE_MS);

	private final Map<String, Set<RunningAttempt>> runningByAddress = new HashMap<>();

	/** Times of the last probes on the monotonic clock, by address. */
	private final Map<String, Long> probedAtMs = new HashMap<>();

	private final Set<String> probing = new HashSet<>();

	/** Subjects of this host's own requests at crashed servers. */
	private final Set<Subject> witnessed = new HashSet<>();

	/** Attempts with a suspected part that have not begun. */
	private final Set<RunningAttempt> trials = new HashSet<>();

	/** Changed evidence, with the time of the change on the monotonic clock. */
	private final Map<EvidenceKey, ToldEvidence> toTell = new LinkedHashMap<>();

	private volatile boolean empty = true;

	private volatile Runnable listener = () -> {
	};

	/**
	 * Creates an empty quarantine.
	 * @param clock the clocks
	 * @param log the log
	 * @param hostId identifier of the host
	 */
	public RequestQuarantine(GatewayClock clock, DecisionLog log, String hostId) {
		this.clock = clock;
		this.log = log;
		this.hostId = hostId;
	}

	/**
	 * Sets the listener that runs when evidence that other hosts should know has changed.
	 * @param newListener must not block
	 */
	public void onChange(Runnable newListener) {
		this.listener = newListener;
	}

	/**
	 * Records that a request is sent to a server.
	 * @param server start of the server
	 * @param address address of the server
	 * @param request the request
	 * @param begunBefore whether another server has begun to answer the request
	 * @return the attempt, to be ended with {@link #recordEnd}
	 */
	public synchronized RunningAttempt recordStart(ServerStart server, String address, GatewayRequest request,
			boolean begunBefore) {
		RunningAttempt attempt = new RunningAttempt(server, address, request, begunBefore, this.clock.monotonicMs());
		this.runningByAddress.computeIfAbsent(address, (key) -> new LinkedHashSet<>()).add(attempt);
		if (!this.empty && verdict(request) instanceof Verdict.Suspected suspected) {
			this.trials.add(attempt);
			this.log.event("quarantine", "trial", "id", request.id(), "subject", suspected.subject().id(), "server",
					server.server(), "crashMsAgo", this.clock.monotonicMs() - suspected.sinceMs());
		}
		return attempt;
	}

	/**
	 * Records that the server has begun to answer an attempt, which clears the parts of
	 * its prompt.
	 * @param attempt the attempt
	 */
	public void recordBegun(RunningAttempt attempt) {
		if (attempt.hasBegun()) {
			return;
		}
		List<Evidence> changed;
		synchronized (this) {
			attempt.recordBegun();
			this.trials.remove(attempt);
			Set<Subject> subjects = (this.empty) ? parts(attempt.request()) : subjects(attempt.request());
			changed = this.evidence.recordBegun(subjects, this.clock.monotonicMs());
			tell(changed, "begun by " + attempt.request().id());
		}
		notifyListener(changed);
	}

	/**
	 * Records that an attempt has ended.
	 * @param attempt the attempt
	 */
	public synchronized void recordEnd(RunningAttempt attempt) {
		this.trials.remove(attempt);
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
		this.probing.add(address);
		return Optional.of(List.copyOf(this.runningByAddress.getOrDefault(address, Set.of())));
	}

	/**
	 * Returns whether calls to other servers are in progress.
	 * @param address address of a server
	 * @return {@code true} if at least one other server is in use
	 */
	public synchronized boolean usesOtherServers(String address) {
		return this.runningByAddress.entrySet()
			.stream()
			.anyMatch((entry) -> !entry.getKey().equals(address) && !entry.getValue().isEmpty());
	}

	/**
	 * Ends a probe of a server that is still there.
	 * @param address address of the server
	 */
	public synchronized void endProbe(String address) {
		this.probing.remove(address);
	}

	/**
	 * Returns whether a server is being probed, so that it is not yet known whether it
	 * has crashed.
	 * @param address address of the server
	 * @return {@code true} during a probe
	 */
	public synchronized boolean isProbing(String address) {
		return this.probing.contains(address);
	}

	/**
	 * Records the crash of a server, and ends its probe.
	 * @param address address of the server
	 * @param attempts attempts that ran at the server
	 */
	public void recordCrash(String address, List<RunningAttempt> attempts) {
		List<Evidence> changed = new ArrayList<>();
		synchronized (this) {
			this.probing.remove(address);
			logCrash(address, attempts);
			for (RunningAttempt attempt : attempts) {
				if (attempt.mayHaveCrashedServer()) {
					Set<Subject> subjects = subjects(attempt.request());
					this.witnessed.addAll(subjects);
					changed
						.addAll(this.evidence.recordCrash(attempt.serverStart(), subjects, this.clock.monotonicMs()));
				}
			}
			this.empty = this.evidence.isEmpty();
			tell(changed, "crash of " + address);
		}
		notifyListener(changed);
	}

	/**
	 * Returns for how long a request stays in quarantine.
	 * @param request the request
	 * @return the time in milliseconds, 0 if it is not in quarantine
	 */
	public synchronized long quarantinedForMs(GatewayRequest request) {
		if (!this.empty && verdict(request) instanceof Verdict.Convicted convicted) {
			return Math.max(1, convicted.untilMs() - this.clock.monotonicMs());
		}
		return 0;
	}

	/**
	 * Returns whether a request has to wait because a part of its prompt is suspected.
	 * @param request the request
	 * @param spareServers tells whether the others go on if the trial ends a server
	 * @return {@code false} if it may be sent, as a trial if a part is suspected
	 */
	public synchronized boolean isHeld(GatewayRequest request, BooleanSupplier spareServers) {
		if (this.empty || !(verdict(request) instanceof Verdict.Suspected suspected)) {
			return false;
		}
		long delayMs = TrialTurns.delayMs(suspected.subject(), this.hostId,
				this.witnessed.contains(suspected.subject()));
		long sinceCrashMs = this.clock.monotonicMs() - suspected.sinceMs();
		return !this.trials.isEmpty() || sinceCrashMs < delayMs
				|| (sinceCrashMs < TrialTurns.LAST_SERVER_DELAY_MS && !spareServers.getAsBoolean());
	}

	/**
	 * Returns whether a start of a server is known to have ended with a crash.
	 * @param server the start
	 * @return {@code true} if there is evidence of its crash
	 */
	public synchronized boolean hasCrashed(ServerStart server) {
		return this.evidence.hasCrash(server);
	}

	private Verdict verdict(GatewayRequest request) {
		Verdict verdict = this.evidence.verdict(subjects(request), this.clock.monotonicMs());
		if (this.evidence.isEmpty()) {
			this.empty = true;
			this.witnessed.clear();
		}
		return verdict;
	}

	private static Set<Subject> subjects(GatewayRequest request) {
		Set<Subject> subjects = parts(request);
		subjects.add(Subject.request(RequestFingerprint.of(request)));
		return subjects;
	}

	// The last part of a prompt is the request's or its session's own.
	private static Set<Subject> parts(GatewayRequest request) {
		List<String> parts = request.attributes().promptParts();
		Set<Subject> subjects = new LinkedHashSet<>();
		parts.subList(0, Math.max(0, parts.size() - 1)).forEach((id) -> subjects.add(Subject.promptPart(id)));
		return subjects;
	}

	/**
	 * Returns the evidence for other hosts: recent changes and, for hosts that have
	 * joined since, all against convicted subjects.
	 * @return the evidence
	 */
	public synchronized List<Evidence> evidenceToTell() {
		if (this.empty && this.toTell.isEmpty()) {
			return List.of();
		}
		long nowMs = this.clock.monotonicMs();
		this.toTell.values().removeIf((told) -> nowMs - told.changedAtMs > TELLING_MS);
		Map<EvidenceKey, Evidence> result = new LinkedHashMap<>();
		this.toTell.forEach((key, told) -> result.put(key, told.atAge(nowMs)));
		this.evidence.evidenceOfConvictions(nowMs)
			.forEach((entry) -> result.putIfAbsent(new EvidenceKey(entry.crash(), entry.subject()), entry));
		this.empty = this.evidence.isEmpty();
		return result.values()
			.stream()
			.sorted(Comparator.comparing((Evidence entry) -> entry.subject().kind()).thenComparing(TELLING_ORDER))
			.limit(MAX_TOLD_EVIDENCE)
			.toList();
	}

	/**
	 * Merges evidence of another host.
	 * @param told the evidence
	 */
	public void merge(List<Evidence> told) {
		List<Evidence> known = new ArrayList<>();
		synchronized (this) {
			long nowMs = this.clock.monotonicMs();
			Set<Subject> convicted = convictedSubjects(told, nowMs);
			for (Evidence entry : told) {
				this.evidence.merge(entry, nowMs)
					.filter((merged) -> merged.state() != entry.state())
					.ifPresent(known::add);
			}
			Set<Subject> newlyConvicted = convictedSubjects(told, nowMs);
			newlyConvicted.removeAll(convicted);
			told.stream()
				.filter((entry) -> newlyConvicted.remove(entry.subject()))
				.forEach((entry) -> logEvidence("quarantined", entry, "told by another host"));
			this.empty = this.evidence.isEmpty();
			tell(known, "known here");
		}
		notifyListener(known);
	}

	private Set<Subject> convictedSubjects(List<Evidence> entries, long nowMs) {
		Set<Subject> convicted = new HashSet<>();
		for (Evidence entry : entries) {
			if (isConvicted(entry.subject(), nowMs)) {
				convicted.add(entry.subject());
			}
		}
		return convicted;
	}

	private boolean isConvicted(Subject subject, long nowMs) {
		return this.evidence.verdict(Set.of(subject), nowMs) instanceof Verdict.Convicted;
	}

	private void notifyListener(List<Evidence> changed) {
		if (!changed.isEmpty()) {
			this.listener.run();
		}
	}

	private void tell(List<Evidence> changed, String reason) {
		long nowMs = this.clock.monotonicMs();
		for (Evidence entry : changed) {
			this.toTell.put(new EvidenceKey(entry.crash(), entry.subject()), new ToldEvidence(entry, nowMs));
			String event = switch (entry.state()) {
				case SUSPECT -> (isConvicted(entry.subject(), nowMs)) ? "quarantined" : "suspect";
				case KNOWN_BEFORE -> "known-before";
				case CLEARED -> "cleared";
			};
			logEvidence(event, entry, reason);
		}
	}

	private void logEvidence(String event, Evidence entry, String reason) {
		this.log.event("quarantine", event, "kind", entry.subject().kind(), "subject", entry.subject().id(), "crash",
				entry.crash().server(), "startedAtMs", entry.crash().startedAtMs(), "ageMs", entry.ageMs(), "reason",
				reason);
	}

	private void logCrash(String address, List<RunningAttempt> attempts) {
		List<RunningAttempt> notBegun = attempts.stream().filter(RunningAttempt::mayHaveCrashedServer).toList();
		this.log.event("quarantine", "crash", "address", address, "server",
				attempts.isEmpty() ? "none" : attempts.getFirst().serverStart().server(), "startedAtMs",
				attempts.isEmpty() ? 0 : attempts.getFirst().serverStart().startedAtMs(), "attempts", attempts.size(),
				"notBegun", notBegun.stream().limit(MAX_LOGGED_ATTEMPTS).map(RequestQuarantine::describe).toList());
	}

	private static String describe(RunningAttempt attempt) {
		return attempt.request().id() + attempt.request().attributes().promptParts();
	}

	private record EvidenceKey(ServerStart crash, Subject subject) {
	}

	private record ToldEvidence(Evidence evidence, long changedAtMs) {

		Evidence atAge(long nowMs) {
			return new Evidence(this.evidence.crash(), this.evidence.subject(), this.evidence.position(),
					this.evidence.state(), this.evidence.ageMs() + nowMs - this.changedAtMs);
		}

	}

}
