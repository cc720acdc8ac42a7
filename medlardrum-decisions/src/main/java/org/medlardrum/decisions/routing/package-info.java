/**
 * Decisions about requests that are passed through unchanged: servers of plain services,
 * servers to avoid, retries, freshness of the configuration and when to come back.
 */
package org.medlardrum.decisions.routing;
