package org.medlardrum.state.config;

import java.util.List;
import java.util.Map;

import org.medlardrum.state.Rank;

/**
 * Configuration in force at one site: the base document with the site's overlay merged
 * in.
 *
 * @param schema version of the format, 1
 * @param models models by name
 * @param pools pools by name
 * @param organisations organisations by name
 * @param routes routes by name
 * @param ranks ranks
 * @param limits limits
 * @param links links between availability zones
 * @param placements wanted state of engines by server id
 * @param weightStore limit of the weight store
 */
public record Configuration(int schema, Map<String, ModelConfig> models, Map<String, PoolConfig> pools,
		Map<String, OrganisationConfig> organisations, Map<String, RouteConfig> routes, Map<Rank, RankConfig> ranks,
		LimitsConfig limits, List<LinkConfig> links, Map<String, PlacementConfig> placements,
		WeightStoreConfig weightStore) {
}
