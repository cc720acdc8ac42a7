package org.medlardrum.coordination.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.medlardrum.peer.gen.Digest;
import org.medlardrum.peer.gen.OrganisationDemand;
import org.medlardrum.peer.gen.Rumour;

/**
 * Fills a digest up to a maximum size: the demand per rank, then rumours in up to half of
 * the remaining space, then the organisations with the highest demand, then more rumours.
 */
final class DigestBuilder {

	/**
	 * Additional bytes of the headers of two lists when they hold more than 14 elements.
	 */
	private static final int LIST_HEADERS_BYTES = 4;

	private final TSerializer serializer;

	private final int maxBytes;

	DigestBuilder(int maxBytes) {
		this.maxBytes = maxBytes;
		try {
			this.serializer = new TSerializer(new TCompactProtocol.Factory());
		}
		catch (TException ex) {
			throw new IllegalStateException("cannot create a serialiser", ex);
		}
	}

	int sizeBytes(TBase<?, ?> message) {
		try {
			return this.serializer.serialize(message).length;
		}
		catch (TException ex) {
			throw new IllegalStateException("cannot encode " + message.getClass().getSimpleName(), ex);
		}
	}

	/**
	 * Adds the elements that fit to the lists of a digest whose other fields are set.
	 * @param digest the digest
	 * @param demand own demand
	 * @param rumours rumours in the order of sending
	 * @return the rumours that were added
	 */
	List<Rumour> fill(Digest digest, OwnDemand demand, List<Rumour> rumours) {
		digest.setRanks(new ArrayList<>());
		digest.setOrganisations(new ArrayList<>());
		digest.setRumours(new ArrayList<>());
		int remainingBytes = this.maxBytes - LIST_HEADERS_BYTES - sizeBytes(digest);
		remainingBytes -= addWhileFits(demand.ranks(), digest.getRanks(), remainingBytes);
		int maxRumourBytes = remainingBytes / 2;
		int rumourBytes = addWhileFits(rumours, digest.getRumours(), maxRumourBytes);
		remainingBytes -= rumourBytes;
		List<OrganisationDemand> heaviest = new ArrayList<>(demand.organisations());
		heaviest.sort(Comparator.comparingLong(OrganisationDemand::getDemandCostPerS).reversed());
		remainingBytes -= addWhileFits(heaviest, digest.getOrganisations(), remainingBytes);
		int addedRumours = digest.getRumoursSize();
		addWhileFits(rumours.subList(addedRumours, rumours.size()), digest.getRumours(), remainingBytes);
		return digest.getRumours();
	}

	private <T extends TBase<?, ?>> int addWhileFits(Collection<T> from, List<T> into, int availableBytes) {
		int used = 0;
		for (T element : from) {
			int bytes = sizeBytes(element);
			if (used + bytes > availableBytes) {
				return used;
			}
			into.add(element);
			used += bytes;
		}
		return used;
	}

}
