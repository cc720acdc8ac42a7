package org.medlardrum.cli.internal;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.google.gson.JsonObject;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.config.ConfigLog;
import org.medlardrum.state.config.ConfigDocuments;
import org.medlardrum.state.config.ConfigFault;
import org.medlardrum.state.config.ConfigFinding;
import org.medlardrum.state.config.ConfigMerge;
import org.medlardrum.state.config.ConfigReview;
import org.medlardrum.state.config.ConfigValidator;

/**
 * Validates configuration files and reports entries without effect, contradictions and
 * what differs from another file or a stored version. Offline unless
 * {@code --against-version} is given.
 */
@Parameters(commandDescription = "Validate a base file and its overlays, offline unless --against-version is given")
final class CheckCommand extends StoreCommand {

	@Parameter(names = "--base", description = "File with the base document")
	String base = "";

	@Parameter(names = "--overlays",
			description = "Overlay files or directories, separated by commas; <site>.json is the overlay of a site "
					+ "(availability zone)")
	List<String> overlays = List.of();

	@Parameter(names = "--against", description = "File with a base document; the differences from it are reported")
	String against = "";

	@Parameter(names = "--against-overlays",
			description = "Overlay files or directories that belong to --against; those of --overlays by default")
	List<String> againstOverlays = List.of();

	@Parameter(names = "--against-version",
			description = "Version in the store, or newest; the differences from it are reported, and overlays of "
					+ "sites that are not given are those of the version")
	String againstVersion = "";

	@Parameter(names = "--strict", description = "Exit with code 1 if there is a warning")
	boolean strict;

	@Override
	CommandResult run(Session session) {
		if (this.base.isEmpty()) {
			throw invalidValue("--base", "", "a file");
		}
		if (!this.against.isEmpty() && !this.againstVersion.isEmpty()) {
			throw new ParameterException("--against and --against-version exclude each other");
		}
		if (this.against.isEmpty() && !this.againstOverlays.isEmpty()) {
			throw new ParameterException("--against-overlays needs --against");
		}
		ConfigFiles files = ConfigFiles.read(this.base, this.overlays);
		if (!files.faults().isEmpty()) {
			return ResultFormat.rejected(files.faults());
		}
		if (!this.againstVersion.isEmpty()) {
			StoreResult<ConfigDocuments> stored = load(session);
			return switch (stored) {
				case StoreResult.Ok<ConfigDocuments> ok -> check(ok.value(), files.over(ok.value()));
				case StoreResult.NotFound<ConfigDocuments> missing -> CommandResult.failure(ExitCode.FAILED,
						"--against-version: version " + this.againstVersion + " does not exist");
				default -> storeFailure(stored);
			};
		}
		ConfigDocuments checked = ConfigMerge.documents(0, files.base(), files.overlays());
		if (this.against.isEmpty()) {
			return check(null, checked);
		}
		ConfigFiles other = ConfigFiles.read(this.against,
				this.againstOverlays.isEmpty() ? this.overlays : this.againstOverlays);
		List<ConfigFault> faults = other.faults().isEmpty() ? ConfigValidator.validate(other.base(), other.overlays())
				: other.faults();
		return faults.isEmpty() ? check(ConfigMerge.documents(0, other.base(), other.overlays()), checked)
				: ResultFormat.rejected(faults.stream()
					.map((fault) -> new ConfigFault("--against " + fault.path(), fault.message(),
							fault.acceptedValues()))
					.toList());
	}

	private StoreResult<ConfigDocuments> load(Session session) {
		ConfigLog log = log(session);
		return this.againstVersion.equals("newest") ? log.load()
				: log.loadAt(wholeNumber("--against-version", this.againstVersion, 0, Long.MAX_VALUE));
	}

	private CommandResult check(ConfigDocuments before, ConfigDocuments checked) {
		List<ConfigFault> faults = ConfigValidator.validate(checked.base(), checked.overlays());
		if (!faults.isEmpty()) {
			return ResultFormat.rejected(faults);
		}
		List<ConfigFinding> warnings = ConfigReview.warnings(checked);
		boolean refused = this.strict && !warnings.isEmpty();
		List<ConfigFinding> findings = new ArrayList<>(warnings);
		JsonObject json = new JsonObject();
		json.addProperty("outcome", refused ? "rejected" : "valid");
		json.addProperty("hash", checked.hash());
		String text = (refused ? "refused because of --strict" : "valid") + ", base and " + checked.overlays().size()
				+ " overlay(s), hash " + checked.hash() + ResultFormat.warningsText(warnings);
		if (before != null) {
			List<ConfigFinding> changes = ConfigReview.changes(before, checked);
			findings.addAll(changes);
			text += changes.isEmpty() ? "\nno difference" : ResultFormat.findingsText("difference(s)", changes);
		}
		json.add("findings", ResultFormat.findingsJson(findings));
		return CommandResult.of(refused ? ExitCode.FAILED : ExitCode.OK, json, text);
	}

	@Override
	String example() {
		return "check --base deploy/herd-tally/base.json --overlays deploy/herd-tally";
	}

}
