package org.medlardrum.coordination.gossip;

/**
 * Counters of a {@link Gossip} since its start.
 *
 * @param sent digests sent
 * @param received digests handled
 * @param dropped messages dropped because the mailbox was full
 * @param rumours rumours held now
 */
public record GossipStats(long sent, long received, long dropped, int rumours) {
}
