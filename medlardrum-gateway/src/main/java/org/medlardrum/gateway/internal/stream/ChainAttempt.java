package org.medlardrum.gateway.internal.stream;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Set;

import org.medlardrum.decisions.pool.ChainZones;
import org.medlardrum.decisions.pool.StreamStallDetector;
import org.medlardrum.gateway.internal.call.BackendCall;
import org.medlardrum.gateway.internal.call.Signal;

/**
 * One attempt of a stream at a chain: the call, the chain that it reserves, and what of
 * the response has been read.
 */
final class ChainAttempt implements AutoCloseable {

	private static final int OK = 200;

	private static final int MULTIPLE_CHOICES = 300;

	private final ChainChooser.ReservedChain chain;

	private final BackendCall call;

	private final String reason;

	private final Set<String> avoided;

	private final StreamStallDetector pauses;

	private final EventParser parser = new EventParser();

	private int status;

	private List<String> headers = List.of();

	/** Body of a response that is no stream, {@code null} for a stream. */
	private ByteArrayOutputStream plainBody;

	private long askAtMs;

	/**
	 * Creates an attempt.
	 * @param chain the chain, which the attempt returns when it ends
	 * @param call the call to the first engine
	 * @param reason why the attempt is made, as logged
	 * @param avoided identifiers of engines that the attempt is made to avoid
	 * @param pauses the attempt's silences
	 * @param nowMs clock reading
	 */
	ChainAttempt(ChainChooser.ReservedChain chain, BackendCall call, String reason, Set<String> avoided,
			StreamStallDetector pauses, long nowMs) {
		this.chain = chain;
		this.call = call;
		this.reason = reason;
		this.avoided = Set.copyOf(avoided);
		this.pauses = pauses;
		this.askAtMs = nowMs + pauses.suspectStallThresholdMs();
	}

	ChainChooser.ReservedChain chain() {
		return this.chain;
	}

	String firstEngine() {
		return this.chain.ids().getFirst();
	}

	BackendCall call() {
		return this.call;
	}

	String reason() {
		return this.reason;
	}

	Set<String> avoided() {
		return this.avoided;
	}

	StreamStallDetector pauses() {
		return this.pauses;
	}

	/**
	 * Records a header that comes from the engine.
	 * @param header the header
	 * @param responseHeaders the headers for the caller
	 */
	void header(Signal.Header header, List<String> responseHeaders) {
		this.status = header.status();
		this.headers = responseHeaders;
		if (header.status() < OK || header.status() >= MULTIPLE_CHOICES) {
			this.plainBody = new ByteArrayOutputStream();
		}
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

	boolean isStream() {
		return this.plainBody == null;
	}

	/**
	 * Adds bytes of a response that is no stream.
	 * @param bytes the bytes
	 * @return the length of the body so far
	 */
	int addToBody(byte[] bytes) {
		this.plainBody.writeBytes(bytes);
		return this.plainBody.size();
	}

	byte[] body() {
		return this.plainBody.toByteArray();
	}

	/**
	 * Adds bytes of a stream.
	 * @param bytes the bytes
	 * @return events that are whole now
	 */
	List<StreamedEvent> addToStream(byte[] bytes) {
		return this.parser.add(bytes);
	}

	boolean hasPartialEvent() {
		return this.parser.hasPartialEvent();
	}

	/**
	 * Records an event, which ends a silence.
	 * @param nowMs clock reading
	 */
	void event(long nowMs) {
		this.pauses.recordEvent(nowMs);
		this.askAtMs = nowMs + this.pauses.suspectStallThresholdMs();
	}

	/**
	 * Returns when the attempt has been silent for so long that something must be done.
	 * @return clock reading
	 */
	long askAtMs() {
		return this.askAtMs;
	}

	void askAt(long atMs) {
		this.askAtMs = atMs;
	}

	/**
	 * Returns the availability zone from which an engine of the chain is reached.
	 * @param serverId identifier of the engine
	 * @param hostZone the availability zone of this host
	 * @return the zone of the engine before it, or of this host
	 */
	String zoneBefore(String serverId, String hostZone) {
		return ChainZones.predecessorZone(this.chain.hops(), serverId, hostZone);
	}

	@Override
	public void close() {
		this.call.close();
		this.chain.reservation().close();
	}

}
