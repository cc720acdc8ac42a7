package org.medlardrum.gateway.internal.stream;

import org.medlardrum.gateway.internal.load.Reservation;

/**
 * Servers whose capacity is reserved for an attempt until the reservation is closed.
 *
 * @param target the servers
 * @param utilisation largest utilisation of the servers' capacity, including this request
 * @param receiverRequests requests of all hosts at the server that receives the request,
 * including this one
 * @param receiverSlots slots of that server
 * @param reservation the reservation
 */
record ReservedTarget(StreamTarget target, double utilisation, int receiverRequests, int receiverSlots,
		Reservation reservation) {
}
