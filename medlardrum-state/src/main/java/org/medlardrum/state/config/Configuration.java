package org.medlardrum.state.config;

import java.util.List;
import java.util.Map;

import org.medlardrum.state.Rank;

/**
 * Configuration of one availability zone: the base document merged with the zone's
 * overlay.
 *
 * @param schema version of the format, always 1
 * @param models models by name
 * @param pools pools by name
 * @param organisations organisations by name
 * @param routes routes by name
 * @param ranks targets and guarantees by rank
 * @param limits limits that apply to all routes
 * @param links links between availability zones
 * @param placements desired state of engines, by identifier of the server
 * @param weightStore limit of the weight store
 */
public record Configuration(int schema, Map<String, ModelConfig> models, Map<String, PoolConfig> pools,
		Map<String, OrganisationConfig> organisations, Map<String, RouteConfig> routes, Map<Rank, RankConfig> ranks,
		LimitsConfig limits, List<LinkConfig> links, Map<String, PlacementConfig> placements,
		WeightStoreConfig weightStore) {
}
