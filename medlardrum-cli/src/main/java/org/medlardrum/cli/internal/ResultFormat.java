package org.medlardrum.cli.internal;

import java.util.ArrayList;
import java.util.List;

import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import org.medlardrum.state.config.ConfigCodec;
import org.medlardrum.state.config.ConfigEdit;
import org.medlardrum.state.config.ConfigFault;
import org.medlardrum.state.config.ConfigFinding;
import org.medlardrum.state.config.ConfigMerge;

/**
 * Formats results that several commands print, as text and as JSON.
 */
final class ResultFormat {

	private ResultFormat() {
	}

	static CommandResult rejected(List<ConfigFault> faults) {
		JsonObject json = new JsonObject();
		json.addProperty("outcome", "rejected");
		json.add("faults", new Gson().toJsonTree(faults));
		List<String> lines = new ArrayList<>(List.of("refused, " + faults.size() + " fault(s), nothing was written:"));
		faults.forEach((fault) -> lines.add("  " + fault.describe()));
		return CommandResult.of(ExitCode.FAILED, json, String.join("\n", lines));
	}

	static String warningsText(List<ConfigFinding> warnings) {
		return warnings.isEmpty() ? "" : findingsText("warning(s)", warnings);
	}

	static String findingsText(String kind, List<ConfigFinding> findings) {
		List<String> lines = new ArrayList<>(List.of("\n" + findings.size() + " " + kind + ":"));
		findings.forEach((finding) -> lines.add("  " + finding.describe()));
		return String.join("\n", lines);
	}

	static JsonElement findingsJson(List<ConfigFinding> findings) {
		return new Gson().toJsonTree(findings);
	}

	/**
	 * Adds warnings to the result of a command that printed another outcome.
	 * @param result the result
	 * @param warnings the warnings
	 * @return the result with the warnings
	 */
	static CommandResult withWarnings(CommandResult result, List<ConfigFinding> warnings) {
		result.json().add("findings", findingsJson(warnings));
		return new CommandResult(result.exitCode(), result.json(), result.text() + warningsText(warnings));
	}

	static String editsText(List<ConfigEdit> edits) {
		List<String> lines = new ArrayList<>();
		for (ConfigEdit edit : edits) {
			lines.add(edit.document() + ":" + edit.path());
			if (edit.oldValue() != null) {
				lines.add("  - " + ConfigMerge.canonical(edit.oldValue()));
			}
			if (edit.newValue() != null) {
				lines.add("  + " + ConfigMerge.canonical(edit.newValue()));
			}
		}
		return String.join("\n", lines);
	}

	static JsonArray editsJson(List<ConfigEdit> edits) {
		return ConfigCodec.writeEdits(edits);
	}

	/**
	 * Formats a table with aligned columns.
	 * @param rows rows with the same number of cells each
	 * @return the lines of the table, without a line break at the end
	 */
	static String table(List<List<String>> rows) {
		int columns = rows.get(0).size();
		List<String> lines = new ArrayList<>();
		for (List<String> row : rows) {
			StringBuilder line = new StringBuilder();
			for (int column = 0; column < columns; column++) {
				int index = column;
				int width = rows.stream().mapToInt((otherRow) -> otherRow.get(index).length()).max().orElse(0);
				line.append(row.get(column)).append(" ".repeat(width - row.get(column).length() + 2));
			}
			lines.add(line.toString().stripTrailing());
		}
		return String.join("\n", lines);
	}

	/**
	 * Formats the members of an object on one line.
	 * @param json the object
	 * @return {@code name=value} pairs, separated by spaces
	 */
	static String singleLine(JsonObject json) {
		List<String> parts = new ArrayList<>();
		json.entrySet().forEach((entry) -> parts.add(entry.getKey() + "=" + valueText(entry.getValue())));
		return String.join(" ", parts);
	}

	private static String valueText(JsonElement value) {
		return value.isJsonPrimitive() ? value.getAsString() : value.toString();
	}

}
