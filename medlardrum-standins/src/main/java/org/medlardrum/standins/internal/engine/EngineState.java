package org.medlardrum.standins.internal.engine;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Loaded model and adapters of an engine, with its role and boot identifier. Thread-safe.
 */
public final class EngineState {

	private String model;

	private String version;

	private String role;

	private String bootId;

	private final Set<String> adapters;

	/**
	 * Creates the state.
	 * @param model name of the loaded model, empty for none
	 * @param version version of the model
	 * @param adapters names of the loaded adapters
	 * @param role role of the engine
	 * @param bootId identifier of this start of the process
	 */
	public EngineState(String model, String version, List<String> adapters, String role, String bootId) {
		this.model = model;
		this.version = version;
		this.adapters = new LinkedHashSet<>(adapters);
		this.role = role;
		this.bootId = bootId;
	}

	synchronized boolean serves(String wantedModel, String wantedVersion) {
		return this.model.equals(wantedModel)
				&& (wantedVersion == null || wantedVersion.isEmpty() || this.version.equals(wantedVersion));
	}

	synchronized boolean hasAdapter(String adapter) {
		return adapter == null || adapter.isEmpty() || this.adapters.contains(adapter);
	}

	synchronized void addAdapter(String adapter) {
		this.adapters.add(adapter);
	}

	synchronized void model(String newModel, String newVersion) {
		this.model = newModel;
		this.version = newVersion;
	}

	synchronized void adapters(List<String> newAdapters) {
		this.adapters.clear();
		this.adapters.addAll(newAdapters);
	}

	synchronized void role(String newRole) {
		this.role = newRole;
	}

	synchronized void bootId(String newBootId) {
		this.bootId = newBootId;
	}

	synchronized String model() {
		return this.model;
	}

	synchronized String version() {
		return this.version;
	}

	synchronized String role() {
		return this.role;
	}

	synchronized List<String> adapters() {
		return new ArrayList<>(this.adapters);
	}

	/**
	 * Returns the identifier of this start of the process.
	 * @return the identifier
	 */
	public synchronized String bootId() {
		return this.bootId;
	}

}
