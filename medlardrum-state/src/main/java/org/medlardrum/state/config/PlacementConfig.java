package org.medlardrum.state.config;

import java.util.List;

/**
 * Desired state of one engine.
 *
 * @param model model to hold
 * @param version version to hold
 * @param adapters adapters to hold
 * @param role role of the engine: {@code prefill}, {@code decode} or {@code both}
 */
public record PlacementConfig(String model, String version, List<String> adapters, String role) {
}
