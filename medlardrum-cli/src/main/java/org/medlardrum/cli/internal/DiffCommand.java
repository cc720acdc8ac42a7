package org.medlardrum.cli.internal;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.gson.JsonObject;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.config.ConfigLog;
import org.medlardrum.state.config.ConfigDocuments;
import org.medlardrum.state.config.ConfigEdit;
import org.medlardrum.state.config.ConfigMerge;

/**
 * Compares configuration files, or a stored version, with a stored version. Shows the
 * entries that differ, such as {@code base:/limits/maxAttempts}.
 */
@Parameters(
		commandDescription = "Compare files, or another version, with a version in the store and show the entries that differ")
final class DiffCommand extends StoreCommand {

	@Parameter(names = "--base",
			description = "File with the base document; without it, the base of --from-version is used")
	String base = "";

	@Parameter(names = "--overlays",
			description = "Overlay files or directories, separated by commas; <site>.json is the overlay of a site "
					+ "(availability zone); overlays of other sites are those of --from-version")
	List<String> overlays = List.of();

	@Parameter(names = "--from-version", description = "Version to compare with; the newest one by default")
	String fromVersion = "";

	@Parameter(names = "--to-version",
			description = "Version to compare with --from-version instead of --base and --overlays, which are then not "
					+ "compared")
	String toVersion = "";

	@Override
	CommandResult run(Session session) {
		ConfigFiles files = ConfigFiles.read(this.base, this.overlays);
		if (!files.faults().isEmpty()) {
			return ResultFormat.rejected(files.faults());
		}
		ConfigLog log = log(session);
		StoreResult<ConfigDocuments> from = load(log, "--from-version", this.fromVersion);
		if (!(from instanceof StoreResult.Ok<ConfigDocuments> before)) {
			return storeFailure(from);
		}
		if (this.toVersion.isEmpty()) {
			return report(before.value(), files.over(before.value()));
		}
		StoreResult<ConfigDocuments> to = load(log, "--to-version", this.toVersion);
		return (to instanceof StoreResult.Ok<ConfigDocuments> after) ? report(before.value(), after.value())
				: storeFailure(to);
	}

	private static StoreResult<ConfigDocuments> load(ConfigLog log, String flag, String version) {
		return version.isEmpty() ? log.load() : log.loadAt(wholeNumber(flag, version, 0, Long.MAX_VALUE));
	}

	private static CommandResult report(ConfigDocuments before, ConfigDocuments after) {
		List<ConfigEdit> edits = ConfigMerge.diff(before, after);
		JsonObject json = new JsonObject();
		json.addProperty("fromVersion", before.version());
		json.add("edits", ResultFormat.editsJson(edits));
		return CommandResult.of(ExitCode.OK, json,
				edits.isEmpty() ? "no difference from version " + before.version() : ResultFormat.editsText(edits));
	}

	@Override
	String example() {
		return "diff --platform-address 127.0.0.1:7000 --base deploy/herd-tally/base.json";
	}

}
