package org.medlardrum.state.routing;

/**
 * The organisation that holds an API key.
 *
 * @param organisation name of the organisation
 * @param rank rank that overrides the route's rank, negative for none
 */
public record KeyHolder(String organisation, int rank) {
}
