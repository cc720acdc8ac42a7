package org.medlardrum.state.config;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.gson.JsonObject;

/**
 * Validates base and overlays: the base alone, which an availability zone without overlay
 * uses, and the merged configuration of each zone.
 */
public final class ConfigValidator {

	/**
	 * Largest total size of all documents, in UTF-8 bytes of canonical JSON. The store
	 * limits values to 1 MB and peers limit frames to 1 MB; the remainder is for the
	 * envelope.
	 */
	public static final int MAX_DOCUMENT_BYTES = 900_000;

	private ConfigValidator() {
	}

	/**
	 * Validates base and overlays.
	 * @param base the base document
	 * @param overlays the overlays by availability zone
	 * @return all faults, empty when the documents are valid; a fault of the base is not
	 * repeated for each zone
	 */
	public static List<ConfigFault> validate(JsonObject base, Map<String, JsonObject> overlays) {
		List<ConfigFault> baseFaults = faultsOf(base);
		List<ConfigFault> faults = new ArrayList<>();
		baseFaults.forEach((fault) -> faults.add(at(ConfigMerge.BASE, fault)));
		Set<ConfigFault> baseFaultSet = new HashSet<>(baseFaults);
		int sizeBytes = sizeOf(base);
		for (Map.Entry<String, JsonObject> overlay : overlays.entrySet()) {
			sizeBytes += sizeOf(overlay.getValue());
			String document = ConfigMerge.OVERLAY_PREFIX + overlay.getKey();
			if (!overlay.getKey().matches("[A-Za-z0-9][A-Za-z0-9._-]*")) {
				faults.add(new ConfigFault(document, "is not a name of an availability zone",
						"letters, digits, '.', '_' and '-'"));
			}
			faultsOf(ConfigMerge.merge(base, overlay.getValue())).stream()
				.filter((fault) -> !baseFaultSet.contains(fault))
				.forEach((fault) -> faults.add(at(document, fault)));
		}
		if (sizeBytes > MAX_DOCUMENT_BYTES) {
			faults.add(new ConfigFault(ConfigMerge.BASE, "base and overlays have " + sizeBytes + " bytes together",
					"at most " + MAX_DOCUMENT_BYTES));
		}
		return faults;
	}

	private static List<ConfigFault> faultsOf(JsonObject merged) {
		return (ConfigParser.parse(merged) instanceof ConfigResult.Invalid invalid) ? invalid.faults() : List.of();
	}

	private static int sizeOf(JsonObject document) {
		return ConfigMerge.canonical(document).getBytes(StandardCharsets.UTF_8).length;
	}

	private static ConfigFault at(String document, ConfigFault fault) {
		return new ConfigFault(document + ":" + fault.path(), fault.message(), fault.acceptedValues());
	}

}
