package org.medlardrum.state.config;

import java.util.Map;
import java.util.TreeMap;

import com.google.gson.JsonObject;

/**
 * The configuration documents at one version.
 *
 * @param version version, 0 before the first change
 * @param hash hash of the canonical form of base and overlays
 * @param base base document for all availability zones
 * @param overlays overlays by availability zone, each merged over the base as a JSON
 * merge patch (RFC 7386)
 */
public record ConfigDocuments(long version, String hash, JsonObject base, Map<String, JsonObject> overlays) {

	public ConfigDocuments {
		overlays = new TreeMap<>(overlays);
	}

}
