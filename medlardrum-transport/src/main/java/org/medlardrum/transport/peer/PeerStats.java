package org.medlardrum.transport.peer;

/**
 * Counters of a {@link PeerServer} since its start.
 *
 * @param digests digests received
 * @param requests requests that were responded to
 * @param malformed datagrams and frames that could not be decoded
 * @param refusedAddresses connections and datagrams from addresses outside the allowed
 * ranges
 * @param refusedConnections connections refused because of the connection limit
 * @param connections connections that are currently open
 */
public record PeerStats(long digests, long requests, long malformed, long refusedAddresses, long refusedConnections,
		int connections) {
}
