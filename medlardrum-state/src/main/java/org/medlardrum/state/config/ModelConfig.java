package org.medlardrum.state.config;

/**
 * A model that routes can refer to.
 *
 * @param layers number of layers
 * @param pool pool of engines that hold the model
 * @param version version that engines must hold, empty for any version
 */
public record ModelConfig(int layers, String pool, String version) {
}
