package org.medlardrum.gateway.internal.stream;

import java.util.Optional;
import java.util.function.Supplier;

import org.medlardrum.decisions.pool.StreamLimits;
import org.medlardrum.decisions.routing.AttemptLedger;
import org.medlardrum.decisions.routing.RetryAfter;
import org.medlardrum.decisions.routing.SendDenial;
import org.medlardrum.gateway.internal.admission.RequestAdmission;
import org.medlardrum.gateway.internal.admission.WaitingRequest;
import org.medlardrum.gateway.internal.request.CallerResponse;
import org.medlardrum.gateway.internal.request.GatewayRequest;
import org.medlardrum.gateway.internal.request.RequestDependencies;
import org.medlardrum.protocol.problem.ProblemType;

/**
 * Search for servers while a stream has none: for its first ones, and for others after
 * its only attempt has failed. Decides when to search again and when to give up.
 */
final class ServerSearch {

	/**
	 * Longest wait of a request with a suspected part of its prompt; the trial of another
	 * request usually ends within it.
	 */
	private static final long MAX_HOLD_MS = 1_000;

	/**
	 * Interval at which a request that waits for a trial checks whether it may be sent.
	 */
	private static final long HOLD_CHECK_INTERVAL_MS = 20;

	private static final String PART = "stream";

	private static final String FIRST = "first";

	private static final String QUEUED = "queued";

	private static final String REFUSED = "refused";

	private final RequestDependencies dependencies;

	private final GatewayRequest request;

	private final CallerResponse response;

	private final AttemptLedger ledger;

	private final StreamServers servers;

	private final Stream stream;

	private final WaitingStream waiting = new WaitingStream();

	private String lastFailure = "none";

	/** Reason of the search, {@code null} while an attempt is in progress. */
	private String reason;

	/** Empty if the request does not wait for capacity. */
	private Optional<RequestAdmission> admission = Optional.empty();

	private long searchAtMs;

	private long searchUntilMs;

	/**
	 * Creates a search.
	 * @param dependencies settings, state and shared objects
	 * @param request the request
	 * @param response the response
	 * @param ledger counts the servers to which the request is sent
	 * @param servers chooses the servers
	 * @param stream the stream that searches
	 */
	ServerSearch(RequestDependencies dependencies, GatewayRequest request, CallerResponse response,
			AttemptLedger ledger, StreamServers servers, Stream stream) {
		this.dependencies = dependencies;
		this.request = request;
		this.response = response;
		this.ledger = ledger;
		this.servers = servers;
		this.stream = stream;
	}

	/**
	 * Returns whether the stream has no attempt.
	 * @return {@code true} while searching
	 */
	boolean isSearching() {
		return this.reason != null;
	}

	/**
	 * Returns when to search next.
	 * @return time on the monotonic clock, {@link Long#MAX_VALUE} while not searching
	 */
	long dueAtMs() {
		return (this.reason != null) ? this.searchAtMs : Long.MAX_VALUE;
	}

	/**
	 * Searches for the servers of the stream's first attempt.
	 * @return the outcome, {@code null} while the request is in progress
	 */
	String begin() {
		this.admission = this.stream.recordArrival(this.servers.work());
		if (isSuspected(this.stream.denial())) {
			return hold(FIRST);
		}
		return (mayBeTried() && send(FIRST)) ? null : waitOrAbandon(FIRST, this.servers.shortageDetail());
	}

	// A request that cannot wait is tried although others wait.
	private boolean mayBeTried() {
		return this.admission.map((present) -> present.isNext() || !present.hasTime(this.dependencies.nowMs()))
			.orElse(true) || !this.stream.mayWait();
	}

	private boolean send(String event) {
		boolean sent = this.stream.send(event);
		if (sent) {
			this.reason = null;
			this.admission.ifPresent((present) -> present.recordStart(this.servers.estimatedDurationMs()));
		}
		return sent;
	}

	// Waits for capacity, unless that does not help: no server could run the request even
	// without any load.
	private String waitOrAbandon(String event, String failure) {
		long nowMs = this.dependencies.nowMs();
		boolean hasTime = this.admission.map((present) -> present.hasTime(nowMs)).orElse(false);
		if (this.admission.isPresent() && !hasTime && this.waiting.startLate()) {
			return null;
		}
		if (!hasTime || !this.stream.mayWait()) {
			return this.stream.abandon(failure);
		}
		this.reason = event;
		this.searchAtMs = Long.MAX_VALUE;
		return this.admission.get().await(this.waiting);
	}

	/**
	 * Searches for other servers after the only attempt has failed.
	 * @param event the failure, as logged
	 * @param failure description of the failure
	 * @param durationMs time after which a search without success ends
	 * @return the outcome, {@code null} while the request is in progress
	 */
	String beginAgain(String event, String failure, long durationMs) {
		this.lastFailure = failure;
		Optional<SendDenial> denial = this.stream.denial();
		if (isSuspected(denial)) {
			return hold(event);
		}
		if (denial.isPresent()) {
			this.stream.logDenial(denial.get());
			return this.stream.abandon(failure);
		}
		long nowMs = this.dependencies.nowMs();
		this.reason = event;
		this.searchUntilMs = nowMs + durationMs;
		return search(nowMs);
	}

	/**
	 * Records a failure after which the stream goes on with a concurrent attempt.
	 * @param failure description of the failure
	 */
	void recordFailure(String failure) {
		this.lastFailure = failure;
	}

	// Waits until the suspected part of the prompt is cleared or this request may try it.
	private String hold(String event) {
		long nowMs = this.dependencies.nowMs();
		this.stream.logDenial(SendDenial.SUSPECTED);
		this.lastFailure = "a part of the prompt may have crashed a server";
		this.reason = event;
		this.searchUntilMs = nowMs + MAX_HOLD_MS;
		this.searchAtMs = nowMs + HOLD_CHECK_INTERVAL_MS;
		return null;
	}

	/**
	 * Searches until servers have room, the search has lasted too long, or the request
	 * must not be sent any more.
	 * @param nowMs current time on the monotonic clock
	 * @return the outcome, {@code null} while the request is in progress
	 */
	String search(long nowMs) {
		boolean held = isSuspected(this.stream.denial());
		if (!held && send(this.reason)) {
			return null;
		}
		this.searchAtMs = nowMs + ((held) ? HOLD_CHECK_INTERVAL_MS : StreamLimits.SEARCH_RETRY_INTERVAL_MS);
		if (held && nowMs < this.searchUntilMs) {
			return null;
		}
		if (held && this.ledger.possibleExecutions() == 0) {
			return refuseSuspected();
		}
		return (nowMs >= this.searchUntilMs || this.stream.denial().isPresent())
				? waitOrAbandon(this.reason, this.lastFailure) : null;
	}

	/**
	 * Records that the complete response was received.
	 */
	void recordComplete() {
		this.admission.ifPresent(RequestAdmission::recordComplete);
	}

	/**
	 * Ends the search with the request.
	 */
	void close() {
		this.admission.ifPresent(RequestAdmission::close);
	}

	private static boolean isSuspected(Optional<SendDenial> denial) {
		return denial.equals(Optional.of(SendDenial.SUSPECTED));
	}

	private String refuseSuspected() {
		long retryAfterMs = RetryAfter.overloadedMs(this.request.rank(),
				this.request.deadlineAtMs() - this.dependencies.nowMs(), this.dependencies.random());
		this.dependencies.log()
			.event(PART, "refuse", "id", this.request.id(), "reason", SendDenial.SUSPECTED.label(), "rank",
					this.request.rank(), "retryAfterMs", retryAfterMs);
		this.response.refuse(ProblemType.QUARANTINED, "A part of the prompt may have crashed a server",
				this.request.rank(), retryAfterMs);
		return REFUSED;
	}

	/**
	 * Refuses the request, which no server has executed.
	 * @param type type of the problem
	 * @param detail explanation for the caller
	 * @param retryAfterMs time after which the caller should come back
	 * @return the outcome
	 */
	String refuse(ProblemType type, String detail, long retryAfterMs) {
		this.dependencies.log()
			.event(PART, "refuse", "id", this.request.id(), "reason", detail, "lastFailure", this.lastFailure, "rank",
					this.request.rank(), "retryAfterMs", retryAfterMs, "peers", this.dependencies.loads().peerCount());
		this.response.refuse(type, detail, this.request.rank(), retryAfterMs);
		return REFUSED;
	}

	/**
	 * The request as the waitlist uses it.
	 */
	private final class WaitingStream implements WaitingRequest {

		@Override
		public void run(Supplier<String> step) {
			ServerSearch.this.stream.run(step);
		}

		@Override
		public String recheck() {
			return ServerSearch.this.stream.recheck();
		}

		@Override
		public String tryStart() {
			Optional<SendDenial> denial = ServerSearch.this.stream.denial();
			if (denial.isEmpty()) {
				send(ServerSearch.this.reason);
			}
			return (denial.isEmpty() || isSuspected(denial)) ? null
					: ServerSearch.this.stream.abandon(ServerSearch.this.lastFailure);
		}

		@Override
		public boolean startLate() {
			return ServerSearch.this.servers.allowQueueing() && ServerSearch.this.stream.mayWait()
					&& ServerSearch.this.send(QUEUED);
		}

		@Override
		public String refuse(ProblemType type, String detail, long retryAfterMs) {
			return ServerSearch.this.refuse(type, detail, retryAfterMs);
		}

	}

	/**
	 * The stream for which servers are searched.
	 */
	interface Stream {

		/**
		 * Records the arrival of the request.
		 * @param work its work, in the unit of the service
		 * @return the admission, empty if the request does not wait for capacity
		 */
		Optional<RequestAdmission> recordArrival(double work);

		/**
		 * Returns whether the request may wait for capacity.
		 * @return {@code false} if the wait would be in vain
		 */
		boolean mayWait();

		/**
		 * Executes a step, unless the request has ended.
		 * @param step returns the outcome, {@code null} while the request is in progress
		 */
		void run(Supplier<String> step);

		/**
		 * Checks whether the configuration still admits the request, and responds if not.
		 * @return the outcome, {@code null} if it is still admitted
		 */
		String recheck();

		/**
		 * Decides whether the request may be sent to another server.
		 * @return the reason if it must not be sent, otherwise empty
		 */
		Optional<SendDenial> denial();

		/**
		 * Logs why the request is not sent.
		 * @param denial the reason
		 */
		void logDenial(SendDenial denial);

		/**
		 * Sends the request to the best servers.
		 * @param reason reason of the attempt, as logged
		 * @return {@code false} if no servers have room
		 */
		boolean send(String reason);

		/**
		 * Gives up the request.
		 * @param reason explanation for the caller
		 * @return the outcome
		 */
		String abandon(String reason);

	}

}
