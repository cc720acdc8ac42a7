package org.medlardrum.state.config;

import java.util.List;

/**
 * Desired state of one engine.
 *
 * @param model name of the model to hold
 * @param version version of the model, empty for any version
 * @param adapters names of the adapters to hold
 * @param role role of the engine: {@code prefill}, {@code decode} or {@code both}
 */
public record PlacementConfig(String model, String version, List<String> adapters, String role) {
}
