package org.medlardrum.protocol.engine;

import java.util.List;

/**
 * Body of {@code POST /v1/orders}: the desired state of an engine.
 *
 * @param fencingToken token of the order issuer; an engine that enforces fencing refuses
 * a token below the largest one it has seen
 * @param orderId identifier of the order
 * @param model model to hold
 * @param version version to hold
 * @param adapters adapters to hold
 * @param role role to take
 */
public record EngineOrder(long fencingToken, String orderId, String model, String version, List<String> adapters,
		String role) {
}
