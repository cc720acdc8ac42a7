package org.medlardrum.state.config;

import java.util.List;

/**
 * An organisation that sends requests.
 *
 * @param keySha256 hex SHA-256 digests of the organisation's keys
 * @param weight share weight, 1 by default
 * @param maxInFlight requests at the same time on one entry host, 0 for no limit
 */
public record OrganisationConfig(List<String> keySha256, double weight, int maxInFlight) {
}
