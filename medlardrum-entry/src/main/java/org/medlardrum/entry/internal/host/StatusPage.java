package org.medlardrum.entry.internal.host;

import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import org.medlardrum.coordination.claims.ClaimLedger;
import org.medlardrum.coordination.config.ConfigAgent;
import org.medlardrum.coordination.gossip.Gossip;
import org.medlardrum.coordination.membership.Membership;
import org.medlardrum.entry.internal.admission.AdmissionController;
import org.medlardrum.entry.internal.admission.PoolStatus;
import org.medlardrum.entry.internal.fleet.Fleet;
import org.medlardrum.entry.internal.fleet.ServiceState;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.EngineState;

/**
 * State of the host as JSON, for operators.
 */
final class StatusPage {

	private static final Gson GSON = new Gson();

	private final String hostId;

	private final String availabilityZone;

	private final Lifecycle lifecycle;

	private final ConfigAgent config;

	private final Membership membership;

	private final Gossip gossip;

	private final ClaimLedger claims;

	private final Fleet fleet;

	private final AdmissionController admission;

	StatusPage(String hostId, String availabilityZone, Lifecycle lifecycle, ConfigAgent config, Membership membership,
			Gossip gossip, ClaimLedger claims, Fleet fleet, AdmissionController admission) {
		this.hostId = hostId;
		this.availabilityZone = availabilityZone;
		this.lifecycle = lifecycle;
		this.config = config;
		this.membership = membership;
		this.gossip = gossip;
		this.claims = claims;
		this.fleet = fleet;
		this.admission = admission;
	}

	JsonElement json() {
		JsonObject json = new JsonObject();
		json.addProperty("hostId", this.hostId);
		json.addProperty("availabilityZone", this.availabilityZone);
		json.addProperty("draining", this.lifecycle.isDraining());
		json.addProperty("ready", !this.lifecycle.isDraining() && this.config.current().isPresent());
		json.addProperty("inFlight", this.lifecycle.inFlight());
		this.config.current().ifPresent((documents) -> {
			json.addProperty("configVersion", documents.version());
			json.addProperty("configHash", documents.hash());
		});
		json.addProperty("configProblem", this.config.problem());
		json.addProperty("hostListRevision", this.membership.directory().revision());
		json.add("livePeers", GSON.toJsonTree(this.membership.livePeers().stream().map((host) -> host.id()).toList()));
		json.add("gossip", GSON.toJsonTree(this.gossip.stats()));
		json.add("claims", GSON.toJsonTree(this.claims.stats()));
		json.add("pools", pools());
		json.add("engines", engines());
		json.add("services", services());
		return json;
	}

	private JsonArray pools() {
		JsonArray pools = new JsonArray();
		for (PoolStatus status : this.admission.status()) {
			JsonObject pool = new JsonObject();
			pool.addProperty("pool", status.pool());
			pool.addProperty("running", status.running());
			pool.add("queued", GSON.toJsonTree(status.queued()));
			pools.add(pool);
		}
		return pools;
	}

	private JsonArray engines() {
		JsonArray engines = new JsonArray();
		this.fleet.view().engines().values().forEach((snapshot) -> snapshot.engines().forEach((state) -> {
			JsonObject engine = engine(state);
			engines.add(engine);
		}));
		return engines;
	}

	private static JsonObject engine(EngineState state) {
		JsonObject engine = new JsonObject();
		engine.addProperty("id", state.server().id());
		engine.addProperty("pool", state.server().pool());
		engine.addProperty("circuit", state.circuit().name());
		engine.addProperty("leaving", state.leaving());
		engine.addProperty("ownInFlight", state.ownInFlight());
		engine.addProperty("rampShare", state.rampShare());
		engine.addProperty("observedSlowdown", state.observedSlowdown());
		EngineReport report = state.report();
		if (report != null) {
			engine.addProperty("reportAgeMs", state.reportAgeMs());
			engine.addProperty("model", report.model());
			engine.addProperty("version", report.version());
			engine.addProperty("fromLayer", report.fromLayer());
			engine.addProperty("toLayer", report.toLayer());
			engine.addProperty("running", report.running());
			engine.addProperty("queued", report.queued());
		}
		return engine;
	}

	private JsonArray services() {
		JsonArray services = new JsonArray();
		this.fleet.view().services().values().forEach((pool) -> pool.forEach((state) -> services.add(service(state))));
		return services;
	}

	private static JsonObject service(ServiceState state) {
		JsonObject service = new JsonObject();
		service.addProperty("id", state.server().id());
		service.addProperty("pool", state.server().pool());
		service.addProperty("circuit", state.circuit().name());
		service.addProperty("leaving", state.leaving());
		service.addProperty("ownInFlight", state.ownInFlight());
		return service;
	}

}
