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
 * One request at its entry host, with the rules of the product's streams.
 */
final class StreamModel {

	private static final int MAX_RUNS = 2;

	private final PoolModel model;

	private final HostModel host;

	private final ExperimentFile.RequestKind kind;

	private final int organisation;

	private final int promptTokens;

	private final int events;

	private final Consumer<StreamResult> results;

	private final Set<String> excluded = new HashSet<>();

	private final double arrivedMs;

	private AttemptModel current;

	private AttemptModel successor;

	private int sends;

	private int runs;

	private int delivered;

	private double firstMs;

	private double deliveredAtMs;

	private double longestPauseMs;

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
		this.arrivedMs = model.queue().nowMs();
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

	void begin() {
		search(0);
	}

	// Looks for a chain, again and again while time is left.
	private void search(double leftMs) {
		if (this.ended) {
			return;
		}
		Optional<List<ChainHop>> chain = choose(this.excluded, this.host.zone());
		if (chain.isPresent()) {
			this.current = attempt(chain.get());
		}
		else if (leftMs <= 0) {
			end((this.delivered > 0) ? Outcome.BROKEN : Outcome.REFUSED);
		}
		else {
			this.model.queue()
				.after(StreamLimits.SEARCH_RETRY_INTERVAL_MS,
						() -> search(leftMs - StreamLimits.SEARCH_RETRY_INTERVAL_MS));
		}
	}

	private Optional<List<ChainHop>> choose(Set<String> avoided, String preferredZone) {
		if (this.sends >= StreamLimits.MAX_ATTEMPTS) {
			return Optional.empty();
		}
		return switch (this.model.policy()) {
			case NearestChain nearest -> this.model.zoneChains(this.host.zone())
				.stream()
				.filter((chain) -> chain.stream().noneMatch((hop) -> avoided.contains(hop.server().id())))
				.findFirst();
			case ChainSearching searching -> this.host.find(request().preferring(preferredZone), avoided,
					(this.delivered > 0) ? Optional.of(StreamLimits.RESUME_MAX_UTILISATION) : Optional.empty());
		};
	}

	private ChainRequest request() {
		return new ChainRequest(this.promptTokens, this.events * this.model.tokensPerEvent(), this.kind.rank(),
				this.host.zone());
	}

	private AttemptModel attempt(List<ChainHop> chain) {
		this.sends++;
		this.runs++;
		AttemptModel attempt = new AttemptModel(this.model, this, chain, this.delivered, request().tokensAtEnd());
		attempt.start();
		watch(attempt);
		return attempt;
	}

	// Looks at an attempt again when its silence will be unusual.
	private void watch(AttemptModel attempt) {
		double afterMs = switch (this.model.policy()) {
			case NearestChain nearest -> StreamStallDetector.PROBE_AFTER_MS;
			case ChainSearching searching -> (searching.usesSuspects()) ? attempt.pauses().suspectStallThresholdMs()
					: attempt.pauses().stallThresholdMs();
		};
		watch(attempt, this.delivered, afterMs);
	}

	private void watch(AttemptModel attempt, int afterEvent, double afterMs) {
		this.model.queue().after(afterMs, () -> {
			if (!this.ended && !attempt.isEnded() && this.delivered == afterEvent) {
				onSilence(attempt, afterEvent);
			}
		});
	}

	private void onSilence(AttemptModel attempt, int afterEvent) {
		long silentMs = attempt.pauses().currentGapMs(this.model.nowMs());
		if (attempt == this.successor) {
			promote();
		}
		if (attempt != this.current) {
			return;
		}
		if (this.model.policy() instanceof ChainSearching searching && searching.movesSilent()) {
			long unusualMs = attempt.pauses().stallThresholdMs();
			if (silentMs >= unusualMs || (searching.usesSuspects() && hasSuspect(attempt))) {
				move(searching, silentMs);
			}
			if (silentMs < unusualMs) {
				watch(attempt, afterEvent,
						(searching.usesSuspects()) ? attempt.pauses().nextCheckMs(silentMs) : unusualMs - silentMs);
				return;
			}
		}
		if (attempt.isEnded()) {
			return;
		}
		if (silentMs < StreamStallDetector.PROBE_AFTER_MS) {
			watch(attempt, afterEvent, StreamStallDetector.PROBE_AFTER_MS - silentMs);
			return;
		}
		Optional<PoolServer> lost = attempt.lostEngine();
		if (lost.isPresent()) {
			suspect(attempt, lost.get(), ServerSuspicions.UNRESPONSIVE_SUSPICION_MS);
			this.excluded.add(lost.get().id());
			goOn(attempt);
		}
		else {
			watch(attempt, afterEvent, StreamLimits.PROBE_INTERVAL_MS);
		}
	}

	private boolean hasSuspect(AttemptModel attempt) {
		return ChainZones.hasExcluded(attempt.chain(), this.host.zone(), this.host::isAvoided);
	}

	private void suspect(AttemptModel attempt, PoolServer server, long forMs) {
		this.host.suspect(ChainZones.predecessorZone(attempt.chain(), server.id(), this.host.zone()), server, forMs);
	}

	private void move(ChainSearching searching, long silentMs) {
		boolean late = this.delivered > 0 && silentMs >= StreamStallDetector.PROBE_AFTER_MS;
		if (late || this.successor != null || this.runs >= MAX_RUNS) {
			return;
		}
		Set<String> avoided = new HashSet<>(this.excluded);
		this.current.chain().forEach((hop) -> avoided.add(hop.server().id()));
		String zone = (searching.drawsZone()) ? this.model.drawZone(avoided, this.host.zone()) : this.host.zone();
		if (this.host.find(request().preferring(zone), avoided, Optional.of(StreamLimits.SLOW_FAILOVER_MAX_UTILISATION))
			.isEmpty()) {
			return;
		}
		Optional<List<ChainHop>> next = choose(avoided, zone);
		if (next.isEmpty()) {
			return;
		}
		if (searching.keepsFirst()) {
			this.successor = attempt(next.get());
		}
		else {
			this.excluded.addAll(avoided);
			this.current.end();
			this.current = attempt(next.get());
		}
	}

	private void promote() {
		this.current.chain().forEach((hop) -> this.excluded.add(hop.server().id()));
		this.current.end();
		this.current = this.successor;
		this.successor = null;
	}

	void event(AttemptModel attempt, int number) {
		if (this.ended || attempt.isEnded()) {
			return;
		}
		if (attempt == this.successor) {
			promote();
		}
		else if (this.successor != null) {
			this.successor.end();
			this.successor = null;
		}
		attempt.pauses().recordEvent(this.model.nowMs());
		if (number <= this.delivered) {
			return;
		}
		double nowMs = this.model.queue().nowMs();
		if (this.delivered == 0) {
			this.firstMs = nowMs - this.arrivedMs;
		}
		else {
			this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - this.deliveredAtMs);
		}
		this.deliveredAtMs = nowMs;
		this.delivered = number;
		if (number >= this.events) {
			end(Outcome.WHOLE);
		}
		else {
			watch(attempt);
		}
	}

	void refused(AttemptModel attempt, PoolServer server) {
		this.runs--;
		this.excluded.add(server.id());
		suspect(attempt, server, ServerSuspicions.REFUSED_SUSPICION_MS);
		goOn(attempt);
	}

	private void goOn(AttemptModel failed) {
		failed.end();
		if (failed == this.successor) {
			this.successor = null;
			return;
		}
		if (this.successor != null) {
			promote();
			return;
		}
		search((this.delivered > 0) ? StreamLimits.MAX_RESUME_SEARCH_MS : 0);
	}

	/**
	 * Ends a stream that the end of the experiment cuts off.
	 */
	void cutOff() {
		if (!this.ended) {
			end(Outcome.BROKEN);
		}
	}

	private void end(Outcome outcome) {
		this.ended = true;
		if (this.current != null) {
			this.current.end();
		}
		if (this.successor != null) {
			this.successor.end();
		}
		this.results.accept(new StreamResult(this.kind, this.host.zone(), this.organisation, this.arrivedMs,
				this.firstMs, this.longestPauseMs, this.sends, outcome));
	}

}
