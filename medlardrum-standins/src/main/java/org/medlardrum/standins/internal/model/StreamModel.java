package org.medlardrum.standins.internal.model;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.medlardrum.decisions.pool.ChainHop;
import org.medlardrum.decisions.pool.ChainRequest;
import org.medlardrum.decisions.pool.ChainZones;
import org.medlardrum.decisions.pool.PoolServer;
import org.medlardrum.decisions.pool.StreamLimits;
import org.medlardrum.decisions.pool.StreamStallDetector;
import org.medlardrum.decisions.routing.ServerSuspicions;
import org.medlardrum.standins.internal.model.RoutingPolicy.ChainSearching;
import org.medlardrum.standins.internal.model.RoutingPolicy.NearestChain;
import org.medlardrum.standins.internal.model.StreamResult.Outcome;

/**
 * Model of one streamed request at its entry host, with the failover rules of the
 * product.
 */
final class StreamModel {

	/** Limits failovers of stalled streams; refused attempts are not counted. */
	private static final int MAX_EXECUTIONS = 2;

	private final PoolModel model;

	private final HostModel host;

	private final ExperimentFile.RequestKind kind;

	private final int organisation;

	private final int promptTokens;

	private final int events;

	private final Consumer<StreamResult> results;

	private final Set<String> excludedServers = new HashSet<>();

	private final double arrivedAtMs;

	private AttemptModel currentAttempt;

	private AttemptModel failoverAttempt;

	private int attempts;

	private int executions;

	private int delivered;

	private double timeToFirstEventMs;

	private double deliveredAtMs;

	private double longestGapMs;

	private boolean ended;

	StreamModel(PoolModel model, HostModel host, ExperimentFile.RequestKind kind, int organisation, int promptTokens,
			int events, Consumer<StreamResult> results) {
		this.model = model;
		this.host = host;
		this.kind = kind;
		this.organisation = organisation;
		this.promptTokens = promptTokens;
		this.events = events;
		this.results = results;
		this.arrivedAtMs = model.queue().nowMs();
	}

	HostModel host() {
		return this.host;
	}

	ExperimentFile.RequestKind kind() {
		return this.kind;
	}

	int promptTokens() {
		return this.promptTokens;
	}

	int events() {
		return this.events;
	}

	void start() {
		searchChain(0);
	}

	// Searches for a chain, and repeats the search at intervals while time is left.
	private void searchChain(double remainingMs) {
		if (this.ended) {
			return;
		}
		Optional<List<ChainHop>> chain = chooseChain(this.excludedServers, this.host.zone());
		if (chain.isPresent()) {
			this.currentAttempt = startAttempt(chain.get());
		}
		else if (remainingMs <= 0) {
			end((this.delivered > 0) ? Outcome.ABORTED : Outcome.REFUSED);
		}
		else {
			this.model.queue()
				.schedule(StreamLimits.SEARCH_RETRY_INTERVAL_MS,
						() -> searchChain(remainingMs - StreamLimits.SEARCH_RETRY_INTERVAL_MS));
		}
	}

	private Optional<List<ChainHop>> chooseChain(Set<String> excluded, String preferredZone) {
		if (this.attempts >= StreamLimits.MAX_ATTEMPTS) {
			return Optional.empty();
		}
		return switch (this.model.policy()) {
			case NearestChain nearest -> this.model.zoneChains(this.host.zone())
				.stream()
				.filter((chain) -> chain.stream().noneMatch((hop) -> excluded.contains(hop.server().id())))
				.findFirst();
			case ChainSearching searching -> this.host.findChain(request().preferring(preferredZone), excluded,
					(this.delivered > 0) ? Optional.of(StreamLimits.RESUME_MAX_UTILISATION) : Optional.empty());
		};
	}

	private ChainRequest request() {
		return new ChainRequest(this.promptTokens, this.events * this.model.tokensPerEvent(), this.kind.rank(),
				this.host.zone());
	}

	private AttemptModel startAttempt(List<ChainHop> chain) {
		this.attempts++;
		this.executions++;
		AttemptModel attempt = new AttemptModel(this.model, this, chain, this.delivered, request().tokensAtEnd());
		attempt.start();
		scheduleStallCheck(attempt);
		return attempt;
	}

	// Schedules a check of an attempt for the time at which the gap since its last event
	// reaches the stall threshold.
	private void scheduleStallCheck(AttemptModel attempt) {
		double afterMs = switch (this.model.policy()) {
			case NearestChain nearest -> StreamStallDetector.PROBE_AFTER_MS;
			case ChainSearching searching -> (searching.usesSuspicions())
					? attempt.stallDetector().suspectStallThresholdMs() : attempt.stallDetector().stallThresholdMs();
		};
		scheduleStallCheck(attempt, this.delivered, afterMs);
	}

	private void scheduleStallCheck(AttemptModel attempt, int afterEvent, double afterMs) {
		this.model.queue().schedule(afterMs, () -> {
			if (!this.ended && !attempt.isEnded() && this.delivered == afterEvent) {
				checkStall(attempt, afterEvent);
			}
		});
	}

	private void checkStall(AttemptModel attempt, int afterEvent) {
		long gapMs = attempt.stallDetector().currentGapMs(this.model.nowMs());
		if (attempt == this.failoverAttempt) {
			completeFailover();
		}
		if (attempt != this.currentAttempt) {
			return;
		}
		if (this.model.policy() instanceof ChainSearching searching && searching.failsOverOnStall()) {
			long stallThresholdMs = attempt.stallDetector().stallThresholdMs();
			if (gapMs >= stallThresholdMs || (searching.usesSuspicions() && hasSuspectEngine(attempt))) {
				startFailover(searching, gapMs);
			}
			if (gapMs < stallThresholdMs) {
				scheduleStallCheck(attempt, afterEvent, (searching.usesSuspicions())
						? attempt.stallDetector().nextCheckMs(gapMs) : stallThresholdMs - gapMs);
				return;
			}
		}
		if (attempt.isEnded()) {
			return;
		}
		if (gapMs < StreamStallDetector.PROBE_AFTER_MS) {
			scheduleStallCheck(attempt, afterEvent, StreamStallDetector.PROBE_AFTER_MS - gapMs);
			return;
		}
		Optional<PoolServer> failedEngine = attempt.reportedFailedEngine();
		if (failedEngine.isPresent()) {
			suspect(attempt, failedEngine.get(), ServerSuspicions.UNRESPONSIVE_SUSPICION_MS);
			this.excludedServers.add(failedEngine.get().id());
			continueAfterFailure(attempt);
		}
		else {
			scheduleStallCheck(attempt, afterEvent, StreamLimits.PROBE_INTERVAL_MS);
		}
	}

	private boolean hasSuspectEngine(AttemptModel attempt) {
		return ChainZones.hasExcluded(attempt.chain(), this.host.zone(), this.host::isExcluded);
	}

	private void suspect(AttemptModel attempt, PoolServer server, long forMs) {
		this.host.suspect(ChainZones.predecessorZone(attempt.chain(), server.id(), this.host.zone()), server, forMs);
	}

	private void startFailover(ChainSearching searching, long gapMs) {
		boolean probeDue = this.delivered > 0 && gapMs >= StreamStallDetector.PROBE_AFTER_MS;
		if (probeDue || this.failoverAttempt != null || this.executions >= MAX_EXECUTIONS) {
			return;
		}
		Set<String> excluded = new HashSet<>(this.excludedServers);
		this.currentAttempt.chain().forEach((hop) -> excluded.add(hop.server().id()));
		String zone = (searching.randomFailoverZone()) ? this.model.randomFailoverZone(excluded, this.host.zone())
				: this.host.zone();
		if (this.host
			.findChain(request().preferring(zone), excluded, Optional.of(StreamLimits.SLOW_FAILOVER_MAX_UTILISATION))
			.isEmpty()) {
			return;
		}
		Optional<List<ChainHop>> next = chooseChain(excluded, zone);
		if (next.isEmpty()) {
			return;
		}
		if (searching.keepsOriginalChain()) {
			this.failoverAttempt = startAttempt(next.get());
		}
		else {
			this.excludedServers.addAll(excluded);
			this.currentAttempt.end();
			this.currentAttempt = startAttempt(next.get());
		}
	}

	private void completeFailover() {
		this.currentAttempt.chain().forEach((hop) -> this.excludedServers.add(hop.server().id()));
		this.currentAttempt.end();
		this.currentAttempt = this.failoverAttempt;
		this.failoverAttempt = null;
	}

	void onEvent(AttemptModel attempt, int number) {
		if (this.ended || attempt.isEnded()) {
			return;
		}
		if (attempt == this.failoverAttempt) {
			completeFailover();
		}
		else if (this.failoverAttempt != null) {
			this.failoverAttempt.end();
			this.failoverAttempt = null;
		}
		attempt.stallDetector().recordEvent(this.model.nowMs());
		// Another attempt has already delivered this event.
		if (number <= this.delivered) {
			return;
		}
		double nowMs = this.model.queue().nowMs();
		if (this.delivered == 0) {
			this.timeToFirstEventMs = nowMs - this.arrivedAtMs;
		}
		else {
			this.longestGapMs = Math.max(this.longestGapMs, nowMs - this.deliveredAtMs);
		}
		this.deliveredAtMs = nowMs;
		this.delivered = number;
		if (number >= this.events) {
			end(Outcome.COMPLETE);
		}
		else {
			scheduleStallCheck(attempt);
		}
	}

	void onRefused(AttemptModel attempt, PoolServer server) {
		this.executions--;
		this.excludedServers.add(server.id());
		suspect(attempt, server, ServerSuspicions.REFUSED_SUSPICION_MS);
		continueAfterFailure(attempt);
	}

	private void continueAfterFailure(AttemptModel failed) {
		failed.end();
		if (failed == this.failoverAttempt) {
			this.failoverAttempt = null;
			return;
		}
		if (this.failoverAttempt != null) {
			completeFailover();
			return;
		}
		searchChain((this.delivered > 0) ? StreamLimits.MAX_RESUME_SEARCH_MS : 0);
	}

	/**
	 * Aborts a stream that is unfinished at the end of the experiment.
	 */
	void abort() {
		if (!this.ended) {
			end(Outcome.ABORTED);
		}
	}

	private void end(Outcome outcome) {
		this.ended = true;
		if (this.currentAttempt != null) {
			this.currentAttempt.end();
		}
		if (this.failoverAttempt != null) {
			this.failoverAttempt.end();
		}
		this.results.accept(new StreamResult(this.kind, this.host.zone(), this.organisation, this.arrivedAtMs,
				this.timeToFirstEventMs, this.longestGapMs, this.attempts, outcome));
	}

}
