/**
 * Decisions about the routing of requests: choice of a server for a plain service,
 * suspicion of servers, retry budget, retry delay of refused callers, freshness of the
 * configuration, and the wait for the first configuration.
 */
package org.medlardrum.decisions.routing;
