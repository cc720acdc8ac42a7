package org.medlardrum.state.config;

import java.util.List;

/**
 * An organisation that sends requests.
 *
 * @param keySha256 SHA-256 digests of the organisation's API keys, in hexadecimal digits
 * @param weight weight of its share of the capacity relative to other organisations, 1 by
 * default
 * @param maxInFlight largest number of concurrent requests on one entry host, 0 for no
 * limit
 */
public record OrganisationConfig(List<String> keySha256, double weight, int maxInFlight) {
}
