package org.medlardrum.cli.internal;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.gson.JsonObject;
import org.medlardrum.state.config.ConfigFault;
import org.medlardrum.state.config.ConfigMerge;
import org.medlardrum.state.config.ConfigValidator;

/**
 * Validates configuration files offline.
 */
@Parameters(commandDescription = "Validate a base file and its overlays offline")
final class CheckCommand extends Command {

	@Parameter(names = "--base", description = "File with the base document")
	String base = "";

	@Parameter(names = "--overlays",
			description = "Overlay files or directories, separated by commas; <site>.json is the overlay of a site "
					+ "(availability zone)")
	List<String> overlays = List.of();

	@Override
	CommandResult run(Session session) {
		if (this.base.isEmpty()) {
			throw invalidValue("--base", "", "a file");
		}
		ConfigFiles files = ConfigFiles.read(this.base, this.overlays);
		List<ConfigFault> faults = files.faults().isEmpty() ? ConfigValidator.validate(files.base(), files.overlays())
				: files.faults();
		if (!faults.isEmpty()) {
			return ResultFormat.rejected(faults);
		}
		JsonObject json = new JsonObject();
		json.addProperty("outcome", "valid");
		json.addProperty("hash", ConfigMerge.hash(files.base(), files.overlays()));
		return CommandResult.of(ExitCode.OK, json,
				"valid, base and " + files.overlays().size() + " overlay(s), hash " + json.get("hash").getAsString());
	}

	@Override
	String example() {
		return "check --base deploy/herd-tally/base.json --overlays deploy/herd-tally";
	}

}
