package org.medlardrum.state.config;

/**
 * Limit of the store that engines load weights from.
 *
 * @param loadsPerMinute loads that may start in a minute
 */
public record WeightStoreConfig(double loadsPerMinute) {
}
