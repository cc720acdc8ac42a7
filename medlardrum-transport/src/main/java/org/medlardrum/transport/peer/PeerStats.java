package org.medlardrum.transport.peer;

/**
 * Counters of a {@link PeerServer} since its start.
 *
 * @param digests digests received
 * @param requests requests answered
 * @param malformed datagrams and frames that did not parse
 * @param refusedAddresses connections and datagrams from outside the allowed ranges
 * @param refusedConnections connections beyond the limit
 * @param connections connections open now
 */
public record PeerStats(long digests, long requests, long malformed, long refusedAddresses, long refusedConnections,
		int connections) {
}
