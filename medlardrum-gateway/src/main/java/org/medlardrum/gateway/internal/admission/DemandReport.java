package org.medlardrum.gateway.internal.admission;

/**
 * Demand of one rank for a service at one entry host.
 *
 * @param service name of the service
 * @param rank rank of the requests, 0 first
 * @param demandPerS work of the requests that arrived, per second
 * @param servedPerS work that ended, per second; the first report of a service has that
 * of all its ranks, since a forecast uses only the sum
 */
public record DemandReport(String service, int rank, double demandPerS, double servedPerS) {
}
