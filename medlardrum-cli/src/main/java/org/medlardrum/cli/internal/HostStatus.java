package org.medlardrum.cli.internal;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;

/**
 * Status that an entry host reports.
 *
 * @param address admin address
 * @param status the reported JSON object, empty when none was received
 * @param failure reason why there is no status, empty when there is one
 */
record HostStatus(String address, JsonObject status, String failure) {

	boolean isReachable() {
		return this.failure.isEmpty();
	}

	String text(String name) {
		JsonElement value = this.status.get(name);
		return (value != null && value.isJsonPrimitive()) ? value.getAsString() : "-";
	}

	long number(String name) {
		JsonElement value = this.status.get(name);
		boolean number = value != null && value.isJsonPrimitive() && value.getAsJsonPrimitive().isNumber();
		return number ? value.getAsLong() : 0;
	}

	/**
	 * Returns why the newest configuration version is not in force at the host.
	 * @return the reason, empty when there is none
	 */
	String configProblem() {
		return this.status.has("configProblem") ? text("configProblem") : "";
	}

	long configVersion() {
		return number("configVersion");
	}

	JsonObject toJson() {
		JsonObject json = this.status.deepCopy();
		json.addProperty("address", this.address);
		if (!isReachable()) {
			json.addProperty("failure", this.failure);
		}
		return json;
	}

}
