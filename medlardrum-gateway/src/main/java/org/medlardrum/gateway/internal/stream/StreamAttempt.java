package org.medlardrum.gateway.internal.stream;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

import org.medlardrum.decisions.memory.HeldBytes;
import org.medlardrum.decisions.pool.StreamStallDetector;
import org.medlardrum.gateway.internal.call.BackendCall;
import org.medlardrum.gateway.internal.call.ReceivedBody;
import org.medlardrum.gateway.internal.call.Signal;
import org.medlardrum.gateway.internal.request.HeaderList;
import org.medlardrum.state.routing.ServiceInstance;

/**
 * One attempt of a stream: the call, the reserved servers and the part of the response
 * received so far.
 */
final class StreamAttempt implements AutoCloseable {

	private static final int OK = 200;

	private static final String EVENT_STREAM = "text/event-stream";

	/** Shortest time between two records of the servers' answers. */
	private static final long ANSWER_INTERVAL_MS = 100;

	private final ReservedTarget reserved;

	private final String hostZone;

	private final List<StreamTarget.Link> links;

	private final Set<String> serverIds;

	private final List<ServiceInstance> servers;

	private final BackendCall call;

	private final String reason;

	private final Set<String> excluded;

	private final StreamStallDetector eventGaps;

	private final HeldBytes held;

	private final EventParser parser = new EventParser();

	private int status;

	private List<String> headers = List.of();

	/** Media type of the response in lower case, empty for none. */
	private String contentType = "";

	/** Body of a response that is not a stream, {@code null} for a stream. */
	private ReceivedBody wholeBody;

	private boolean bodyTaken;

	private long stallCheckAtMs;

	/** Identifier of the last event received, negative for none. */
	private long receivedId = StreamedEvent.NO_ID;

	private boolean delivered;

	private boolean begunResponse;

	private boolean written;

	private boolean stallCheckDeferred;

	private long answersRecordedAtMs = Long.MIN_VALUE / 2;

	/**
	 * Identifier or address of the server that the attempt waits for, empty if unknown.
	 */
	private String faultyServer = "";

	private long faultKnownAtMs;

	/** Successors that have failed during the silence. */
	private int failedSuccessors;

	private final Set<String> loggedKeepReasons = new HashSet<>();

	/**
	 * Creates an attempt.
	 * @param reserved the reserved servers, released when the attempt is closed
	 * @param hostZone availability zone of this host
	 * @param servers the servers as they are registered, none if another host chooses
	 * them
	 * @param call the call to the server that receives the request
	 * @param reason reason of the attempt, as logged
	 * @param excluded identifiers of servers that are excluded from the attempt
	 * @param eventGaps the gaps between the attempt's events
	 * @param held counts the bytes that are kept of the response
	 * @param nowMs current time on the monotonic clock
	 */
	StreamAttempt(ReservedTarget reserved, String hostZone, List<ServiceInstance> servers, BackendCall call,
			String reason, Set<String> excluded, StreamStallDetector eventGaps, HeldBytes held, long nowMs) {
		this.reserved = reserved;
		this.hostZone = hostZone;
		this.links = reserved.target().links(hostZone);
		this.serverIds = this.links.stream().map(StreamTarget.Link::serverId).collect(Collectors.toUnmodifiableSet());
		this.servers = servers;
		this.call = call;
		this.reason = reason;
		this.excluded = Set.copyOf(excluded);
		this.eventGaps = eventGaps;
		this.held = held;
		this.stallCheckAtMs = nowMs + eventGaps.suspectStallThresholdMs();
	}

	StreamTarget target() {
		return this.reserved.target();
	}

	/**
	 * Returns the server that has received the request.
	 * @return its identifier, or that of the other host
	 */
	String receiver() {
		return target().receiverId();
	}

	/**
	 * Returns the links over which the servers of the attempt are called.
	 * @return a link for each server, none for an attempt of another host
	 */
	List<StreamTarget.Link> links() {
		return this.links;
	}

	/**
	 * Returns all servers of the attempt.
	 * @return their identifiers, none for an attempt of another host
	 */
	Set<String> serverIds() {
		return this.serverIds;
	}

	/**
	 * Returns the servers as they were registered when the attempt began.
	 * @return the servers, none for an attempt of another host
	 */
	List<ServiceInstance> servers() {
		return this.servers;
	}

	BackendCall call() {
		return this.call;
	}

	String reason() {
		return this.reason;
	}

	Set<String> excluded() {
		return this.excluded;
	}

	StreamStallDetector eventGaps() {
		return this.eventGaps;
	}

	/**
	 * Records the status and headers of the response. On a route with streams, a response
	 * with status 200 is a stream, unless it names another type of content.
	 * @param header the status and headers as received
	 * @param responseHeaders the headers for the caller
	 * @param streams whether the route delivers responses event by event
	 */
	void setHeader(Signal.Header header, List<String> responseHeaders, boolean streams) {
		this.status = header.status();
		this.headers = responseHeaders;
		this.contentType = mediaType(HeaderList.lookup(header.headers()).first("content-type").orElse(""));
		if (!streams || header.status() != OK
				|| !(this.contentType.isEmpty() || this.contentType.equals(EVENT_STREAM))) {
			this.wholeBody = new ReceivedBody(this.held);
		}
	}

	private static String mediaType(String value) {
		return value.split(";", 2)[0].trim().toLowerCase(Locale.ROOT);
	}

	boolean hasHeader() {
		return this.status > 0;
	}

	int status() {
		return this.status;
	}

	List<String> headers() {
		return this.headers;
	}

	String contentType() {
		return this.contentType;
	}

	boolean isStream() {
		return this.wholeBody == null;
	}

	/**
	 * Adds bytes of a response that is not a stream.
	 * @param bytes the bytes
	 * @return the length of the body so far
	 */
	int addToBody(byte[] bytes) {
		this.wholeBody.add(bytes);
		return this.wholeBody.sizeBytes();
	}

	/**
	 * Reads more of a response that is not a stream, at once or when the host has room.
	 */
	void readOnBody() {
		if (this.wholeBody.mayGrow()) {
			this.call.requestMore();
		}
		else {
			this.wholeBody.whenMayGrow(this.call::requestMore);
		}
	}

	/**
	 * Takes the body of a response that is not a stream.
	 * @return the body, to be closed by the caller
	 */
	ReceivedBody takeBody() {
		this.bodyTaken = true;
		return this.wholeBody;
	}

	/**
	 * Returns whether the host has no room for more bytes of the response.
	 * @return {@code true} if the attempt has to end
	 */
	boolean isOverBudget() {
		return !this.held.mayGrow();
	}

	/**
	 * Adds bytes of a stream.
	 * @param bytes the bytes
	 * @return the events that are complete now
	 */
	List<StreamedEvent> addToStream(byte[] bytes) {
		List<StreamedEvent> events = this.parser.add(bytes);
		this.held.set(this.parser.partialBytes());
		return events;
	}

	boolean hasTooLargeEvent() {
		return this.parser.isTooLarge();
	}

	boolean hasMalformedEvent() {
		return this.parser.isMalformed();
	}

	boolean hasPartialEvent() {
		return this.parser.hasPartialEvent();
	}

	void recordReceived(StreamedEvent event) {
		this.receivedId = Math.max(this.receivedId, event.id());
	}

	long receivedId() {
		return this.receivedId;
	}

	/**
	 * Records that an event of this attempt was passed on.
	 * @param first whether it was the first one of the response
	 */
	void recordDelivered(boolean first) {
		this.delivered = true;
		this.begunResponse |= first;
	}

	/**
	 * Returns whether the response to the caller has begun with an event of this attempt.
	 * @return {@code true} unless the attempt continues another one's response
	 */
	boolean hasBegunResponse() {
		return this.begunResponse;
	}

	/**
	 * Returns whether the caller has received an event of this attempt.
	 * @return {@code true} if one was passed on
	 */
	boolean hasDelivered() {
		return this.delivered;
	}

	/**
	 * Records that the request is being written. Silence of the server counts from here.
	 * @param nowMs current time on the monotonic clock
	 */
	void recordWriting(long nowMs) {
		this.written = true;
		this.eventGaps.restart(nowMs);
		this.stallCheckAtMs = nowMs + this.eventGaps.suspectStallThresholdMs();
	}

	/**
	 * Defers a stall check of a late host to the next turn of the event loop, which first
	 * reads the bytes that have arrived. A check is deferred once after each event, and
	 * as long as the request has not been written.
	 * @param late whether the event loop is late
	 * @param nowMs current time on the monotonic clock
	 * @return {@code true} if the check was deferred
	 */
	boolean deferStallCheck(boolean late, long nowMs) {
		this.stallCheckDeferred = late && (!this.written || !this.stallCheckDeferred);
		if (this.stallCheckDeferred) {
			this.stallCheckAtMs = nowMs + 1;
		}
		return this.stallCheckDeferred;
	}

	/**
	 * Records an event and postpones the next check for a stall.
	 * @param nowMs current time on the monotonic clock
	 */
	void recordEvent(long nowMs) {
		this.eventGaps.recordEvent(nowMs);
		this.stallCheckDeferred = false;
		this.stallCheckAtMs = nowMs + this.eventGaps.suspectStallThresholdMs();
		this.faultyServer = "";
		this.failedSuccessors = 0;
		this.loggedKeepReasons.clear();
	}

	/**
	 * Records the server that the attempt waits for. The next event refutes it.
	 * @param server identifier of the server, or its address if it is not registered
	 * @param nowMs current time on the monotonic clock
	 */
	void recordFault(String server, long nowMs) {
		if (this.faultyServer.isEmpty()) {
			this.faultKnownAtMs = nowMs;
		}
		this.faultyServer = server;
	}

	/**
	 * Returns the server that the attempt waits for.
	 * @return its identifier or address, empty if unknown
	 */
	Set<String> faultyServers() {
		return (this.faultyServer.isEmpty()) ? Set.of() : Set.of(this.faultyServer);
	}

	/**
	 * Returns whether the attempt has not been silent for long.
	 * @param nowMs current time on the monotonic clock
	 * @return {@code false} if other attempts need not wait for its events
	 */
	boolean isBelowThreshold(long nowMs) {
		return this.eventGaps.currentGapMs(nowMs) < this.eventGaps.suspectStallThresholdMs();
	}

	boolean isFaultKnown() {
		return !this.faultyServer.isEmpty();
	}

	long faultKnownAtMs() {
		return this.faultKnownAtMs;
	}

	void recordFailedSuccessor() {
		this.failedSuccessors++;
	}

	int failedSuccessors() {
		return this.failedSuccessors;
	}

	/**
	 * Returns whether the reason for which the silent attempt is kept is to be logged,
	 * which is once during a silence.
	 * @param reason the reason
	 * @return {@code true} for a new reason
	 */
	boolean mayLogKeepReason(String reason) {
		return this.loggedKeepReasons.add(reason);
	}

	/**
	 * Returns whether the answers of the servers are to be recorded again.
	 * @param nowMs current time on the monotonic clock
	 * @return {@code true} if the last record is old enough
	 */
	boolean mayRecordAnswers(long nowMs) {
		boolean due = nowMs - this.answersRecordedAtMs >= ANSWER_INTERVAL_MS;
		this.answersRecordedAtMs = (due) ? nowMs : this.answersRecordedAtMs;
		return due;
	}

	/**
	 * Returns when the attempt must be checked for a stall unless an event arrives
	 * before.
	 * @return due time on the monotonic clock
	 */
	long stallCheckAtMs() {
		return this.stallCheckAtMs;
	}

	void scheduleStallCheck(long atMs) {
		this.stallCheckAtMs = atMs;
	}

	/**
	 * Returns the availability zone from which a server of the attempt is called.
	 * @param serverId identifier of the server
	 * @return the zone of the preceding engine, or of this host
	 */
	String callingZone(String serverId) {
		return this.links.stream()
			.filter((link) -> link.serverId().equals(serverId))
			.map(StreamTarget.Link::fromZone)
			.findFirst()
			.orElse(this.hostZone);
	}

	@Override
	public void close() {
		this.call.close();
		this.reserved.reservation().close();
		if (!this.bodyTaken) {
			this.held.close();
		}
	}

}
