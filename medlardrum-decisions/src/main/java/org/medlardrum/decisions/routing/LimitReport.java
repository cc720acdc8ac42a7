package org.medlardrum.decisions.routing;

/**
 * What one host knows of a server's limit, for the other hosts.
 *
 * @param server identifier of the server instance
 * @param limitPerS requests per second that the server accepts from all hosts together, 0
 * if it no longer names a limit
 * @param ageMs time in milliseconds since the server said so
 * @param demandPerS requests per second that the host would send to the server
 */
public record LimitReport(String server, double limitPerS, long ageMs, double demandPerS) {
}
