package org.medlardrum.transport.peer;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Function;

import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import org.apache.thrift.TException;
import org.medlardrum.coordination.PeerNetwork;
import org.medlardrum.coordination.PeerResult;
import org.medlardrum.peer.gen.ClaimAnswer;
import org.medlardrum.peer.gen.ClaimOutcome;
import org.medlardrum.peer.gen.ClaimRequest;
import org.medlardrum.peer.gen.ConfigPull;
import org.medlardrum.peer.gen.Digest;
import org.medlardrum.peer.gen.PeerRequest;
import org.medlardrum.peer.gen.PeerResponse;
import org.medlardrum.state.Host;
import org.medlardrum.state.HostDirectory;
import org.medlardrum.state.HostState;
import org.medlardrum.transport.internal.Addresses;
import org.medlardrum.transport.internal.HostDirectoryDecoder;
import org.tinylog.Logger;

/**
 * Client side of the peer network. Digests are sent as UDP datagrams, calls go over TCP.
 * A call is {@code Unreachable} only if the peer cannot have processed it: the request
 * could not be encoded, the connection was not established, or the peer responded that it
 * refused the request. Every later failure is {@code Unknown}.
 *
 * <p>
 * Connections are pooled, with at most {@value PeerConnectionPool#MAX_IDLE_CONNECTIONS}
 * idle connections to each peer.
 */
public final class ThriftPeerNetwork implements PeerNetwork, AutoCloseable {

	private final PeerOptions options;

	private final DatagramSocket udp;

	private final Map<String, PeerConnectionPool> pools = new ConcurrentHashMap<>();

	private final LongAdder unsentDatagrams = new LongAdder();

	public ThriftPeerNetwork(PeerOptions options) throws IOException {
		this.options = Objects.requireNonNull(options, "options");
		this.udp = new DatagramSocket();
	}

	@Override
	public void send(Host peer, Digest digest) {
		try {
			byte[] content = PeerCodec.encode(digest);
			this.udp.send(new DatagramPacket(content, content.length, address(peer.peerAddress())));
		}
		catch (IOException | TException | IllegalArgumentException ex) {
			this.unsentDatagrams.increment();
			Logger.debug("gossip: digest to {} not sent: {}", peer.id(), ex.getMessage());
		}
	}

	@Override
	public PeerResult<ConfigPull> pullConfig(Host peer, long afterVersion) {
		return call(peer, PeerRequest.pullConfigAfterVersion(afterVersion),
				(response) -> (response.isSetConfigPull()) ? response.getConfigPull() : null);
	}

	@Override
	public PeerResult<ClaimAnswer> claim(Host peer, ClaimRequest request) {
		return call(peer, PeerRequest.claim(request),
				(response) -> (response.isSetClaim()) ? response.getClaim() : null);
	}

	@Override
	public PeerResult<Boolean> recordOutcome(Host peer, ClaimOutcome outcome) {
		return call(peer, PeerRequest.recordOutcome(outcome),
				(response) -> (response.isSetOutcomeRecorded()) ? response.getOutcomeRecorded() : null);
	}

	/**
	 * Requests the host list from a peer.
	 * @param peerAddress {@code ip:port} of the peer, which need not be in the host list
	 * @return the list, with a revision of at least 1
	 */
	public Optional<HostDirectory> pullHosts(String peerAddress) {
		// A call uses only the address of the peer.
		Host peer = new Host(peerAddress, "", "", peerAddress, "", HostState.LIVE);
		PeerResult<String> result = call(peer, PeerRequest.pullHostsAfterRevision(0),
				(response) -> (response.isSetHostsJson()) ? response.getHostsJson() : null);
		if (!(result instanceof PeerResult.Ok<String> ok)) {
			return Optional.empty();
		}
		try {
			return Optional.of(HostDirectoryDecoder.decode(JsonParser.parseString(ok.value())))
				.filter((directory) -> directory.revision() > 0);
		}
		catch (JsonParseException ex) {
			Logger.warn("membership: host list from {} cannot be decoded: {}", peerAddress, ex.getMessage());
			return Optional.empty();
		}
	}

	private <T> PeerResult<T> call(Host peer, PeerRequest request, Function<PeerResponse, T> extractValue) {
		byte[] encodedRequest;
		try {
			encodedRequest = PeerCodec.encode(request);
		}
		catch (TException ex) {
			return new PeerResult.Unreachable<>("request cannot be encoded: " + ex.getMessage());
		}
		if (encodedRequest.length > PeerOptions.MAX_FRAME_BYTES) {
			return new PeerResult.Unreachable<>("request of " + encodedRequest.length
					+ " bytes exceeds the frame limit of " + PeerOptions.MAX_FRAME_BYTES + " bytes");
		}
		PeerConnectionPool pool = this.pools.computeIfAbsent(peer.peerAddress(),
				(address) -> new PeerConnectionPool(address, this.options));
		PeerClientConnection connection;
		try {
			connection = pool.acquire();
		}
		catch (IOException | IllegalArgumentException ex) {
			return new PeerResult.Unreachable<>("cannot connect to " + peer.peerAddress() + ": " + ex.getMessage());
		}
		return exchange(pool, connection, encodedRequest, extractValue);
	}

	private static <T> PeerResult<T> exchange(PeerConnectionPool pool, PeerClientConnection connection,
			byte[] encodedRequest, Function<PeerResponse, T> extractValue) {
		PeerResponse response;
		try {
			response = connection.exchange(encodedRequest);
		}
		catch (IOException | TException ex) {
			connection.close();
			return new PeerResult.Unknown<>("response lost: " + ex.getMessage());
		}
		if (response.isSetError()) {
			connection.close();
			return new PeerResult.Unreachable<>("refused: " + response.getError());
		}
		T result = extractValue.apply(response);
		if (result == null) {
			connection.close();
			return new PeerResult.Unknown<>("response has an unexpected type: " + response.getSetField());
		}
		pool.release(connection);
		return new PeerResult.Ok<>(result);
	}

	/**
	 * Parses a numeric address. Host names are rejected, because a DNS lookup could
	 * block.
	 * @param text {@code ip:port}
	 * @return the address
	 * @throws UnknownHostException if the text has no valid IP address
	 */
	static InetSocketAddress address(String text) throws UnknownHostException {
		int colon = text.lastIndexOf(':');
		boolean bareIpv6 = text.indexOf(':') < colon && !text.startsWith("[");
		try {
			return Addresses
				.parseRemote((bareIpv6) ? '[' + text.substring(0, colon) + ']' + text.substring(colon) : text);
		}
		catch (IllegalArgumentException ex) {
			throw new UnknownHostException(ex.getMessage());
		}
	}

	/**
	 * Returns the number of digests that could not be sent.
	 * @return the number since the start
	 */
	public long unsentDatagrams() {
		return this.unsentDatagrams.sum();
	}

	@Override
	public void close() {
		this.udp.close();
		this.pools.values().forEach(PeerConnectionPool::close);
	}

}
