package org.medlardrum.state.routing;

import java.util.Optional;

import org.medlardrum.state.LayerRange;

/**
 * One registered start of a backend server.
 *
 * @param id identifier of this start
 * @param service name of its service
 * @param address {@code ip:port}
 * @param availabilityZone availability zone of the server
 * @param slots requests that it runs at the same time
 * @param draining whether it takes no new requests
 * @param bornAtMs start of the server, in Unix milliseconds, 0 if unknown
 * @param acceleratorKind name of its kind of accelerator, empty for a plain service
 * @param layers layers that it holds, empty for none
 */
public record ServiceInstance(String id, String service, String address, String availabilityZone, int slots,
		boolean draining, long bornAtMs, String acceleratorKind, Optional<LayerRange> layers) {

	/**
	 * Returns whether this is the same start of the same server as another entry.
	 * @param other another entry
	 * @return {@code true} if identifier and start agree
	 */
	public boolean isSameStart(ServiceInstance other) {
		return this.id.equals(other.id) && this.bornAtMs == other.bornAtMs;
	}

}
