package org.medlardrum.state.config;

/**
 * Limit of the store from which engines load weights.
 *
 * @param loadsPerMinute largest number of loads that may start in a minute
 */
public record WeightStoreConfig(double loadsPerMinute) {
}
