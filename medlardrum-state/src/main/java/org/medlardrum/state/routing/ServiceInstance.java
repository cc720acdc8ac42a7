package org.medlardrum.state.routing;

import java.util.Optional;

import org.medlardrum.state.LayerRange;

/**
 * One instance of a backend server in the service registry. Each start of a server
 * registers a new instance.
 *
 * @param id identifier of this instance
 * @param service name of its service
 * @param address {@code ip:port}
 * @param availabilityZone availability zone of the server
 * @param slots largest number of concurrent requests that it accepts; at an engine, only
 * those count whose chain begins there
 * @param draining whether it accepts no new requests
 * @param startedAtMs start time of the server, in milliseconds since the Unix epoch, 0 if
 * unknown
 * @param acceleratorKind name of its kind of accelerator, empty for a plain service
 * @param layers layers that it holds, empty for none
 * @param reportNumber number of the report since the start of the server, 0 if unknown
 */
public record ServiceInstance(String id, String service, String address, String availabilityZone, int slots,
		boolean draining, long startedAtMs, String acceleratorKind, Optional<LayerRange> layers, long reportNumber) {

	/**
	 * Creates an instance whose report has no number.
	 * @param id identifier of this instance
	 * @param service name of its service
	 * @param address {@code ip:port}
	 * @param availabilityZone availability zone of the server
	 * @param slots largest number of concurrent requests that it accepts
	 * @param draining whether it accepts no new requests
	 * @param startedAtMs start time of the server, 0 if unknown
	 * @param acceleratorKind name of its kind of accelerator, empty for a plain service
	 * @param layers layers that it holds, empty for none
	 */
	public ServiceInstance(String id, String service, String address, String availabilityZone, int slots,
			boolean draining, long startedAtMs, String acceleratorKind, Optional<LayerRange> layers) {
		this(id, service, address, availabilityZone, slots, draining, startedAtMs, acceleratorKind, layers, 0);
	}

	/**
	 * Returns whether another registry entry describes the same start of the same server.
	 * @param other the other entry
	 * @return {@code true} if identifier and start time are equal
	 */
	public boolean isSameStart(ServiceInstance other) {
		return this.id.equals(other.id) && this.startedAtMs == other.startedAtMs;
	}

	/**
	 * Returns whether this report of a server was written after another one.
	 * @param other a report of the same server
	 * @return {@code true} if its start, or its number within the same start, is later
	 */
	public boolean isNewerThan(ServiceInstance other) {
		return (this.startedAtMs != other.startedAtMs) ? this.startedAtMs > other.startedAtMs
				: this.reportNumber > other.reportNumber;
	}

	/**
	 * Returns this report of a server that is draining.
	 * @return the report
	 */
	public ServiceInstance asDraining() {
		return new ServiceInstance(this.id, this.service, this.address, this.availabilityZone, this.slots, true,
				this.startedAtMs, this.acceleratorKind, this.layers, this.reportNumber);
	}

}
