package org.medlardrum.cli.internal;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.google.gson.JsonObject;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.config.ApplyResult;
import org.medlardrum.coordination.config.ConfigLog;
import org.medlardrum.state.config.ConfigDocuments;
import org.medlardrum.state.config.ConfigMerge;
import org.medlardrum.state.config.ConfigReview;

/**
 * Writes configuration documents as one change and waits until entry hosts use it.
 */
@Parameters(commandDescription = "Write a base file and overlays as one change and wait until it is in force")
final class ApplyCommand extends StoreCommand {

	private static final long MAX_WAIT_MS = 3_600_000;

	@Parameter(names = "--base", description = "File with the base document; without it, the current one is kept")
	String base = "";

	@Parameter(names = "--overlays",
			description = "Overlay files or directories, separated by commas; <site>.json is the overlay of a site "
					+ "(availability zone); overlays of other sites are kept")
	List<String> overlays = List.of();

	@Parameter(names = "--remove-overlays", description = "Sites whose overlay is removed, separated by commas")
	List<String> removeOverlays = List.of();

	@Parameter(names = "--based-on",
			description = "Version that the files are based on; the newest one by default. Later changes are kept; "
					+ "if they touch the same entries, nothing is written")
	String basedOn = "";

	@Parameter(names = "--author", description = "Operator recorded in the history; the user of the process by default")
	String author = "";

	@Parameter(names = "--wait-ms", description = "Longest wait until all entry hosts use the change, 0 for no wait")
	String waitMs = "30000";

	@Parameter(names = "--ignore-unreachable-hosts",
			description = "Write even if no entry host responds; changes that the store has lost are then not detected")
	boolean ignoreUnreachableHosts;

	@Override
	CommandResult run(Session session) {
		long maxWaitMs = wholeNumber("--wait-ms", this.waitMs, 0, MAX_WAIT_MS);
		if (this.base.isEmpty() && this.overlays.isEmpty() && this.removeOverlays.isEmpty()) {
			throw new ParameterException("nothing to apply; accepted: --base, --overlays, --remove-overlays");
		}
		ConfigFiles files = ConfigFiles.read(this.base, this.overlays);
		if (!files.faults().isEmpty()) {
			return ResultFormat.rejected(files.faults());
		}
		ConfigLog log = log(session);
		StoreResult<Fleet> fleet = fleet(session);
		if (!(fleet instanceof StoreResult.Ok<Fleet> found)) {
			return storeFailure(fleet);
		}
		CommandResult restoreFailure = new LostChangesRestorer(log, found.value()).restore(this.ignoreUnreachableHosts);
		if (restoreFailure != null) {
			return restoreFailure;
		}
		StoreResult<ConfigDocuments> basis = this.basedOn.isEmpty() ? log.load()
				: log.loadAt(wholeNumber("--based-on", this.basedOn, 0, Long.MAX_VALUE));
		return switch (basis) {
			case StoreResult.Ok<ConfigDocuments> ok -> apply(session, found.value(), log, ok.value(), files, maxWaitMs);
			case StoreResult.NotFound<ConfigDocuments> missing ->
				CommandResult.failure(ExitCode.FAILED, "--based-on: version " + this.basedOn + " does not exist");
			default -> storeFailure(basis);
		};
	}

	private CommandResult apply(Session session, Fleet fleet, ConfigLog log, ConfigDocuments basis, ConfigFiles files,
			long maxWaitMs) {
		ConfigDocuments withFiles = files.over(basis);
		Map<String, JsonObject> newOverlays = new TreeMap<>(withFiles.overlays());
		this.removeOverlays.forEach(newOverlays::remove);
		ApplyResult result = log.apply(basis, withFiles.base(), newOverlays,
				!this.author.isEmpty() ? this.author : System.getProperty("user.name", "unknown"));
		CommandResult report = report(session, fleet, result, maxWaitMs);
		// Rejected documents have no merged configuration to review.
		return (result instanceof ApplyResult.Rejected) ? report : ResultFormat.withWarnings(report,
				ConfigReview.warnings(ConfigMerge.documents(0, withFiles.base(), newOverlays)));
	}

	private CommandResult report(Session session, Fleet fleet, ApplyResult result, long maxWaitMs) {
		JsonObject json = new JsonObject();
		return switch (result) {
			case ApplyResult.Accepted accepted ->
				new RolloutWaiter(session, fleet).await("accepted", accepted.version(), maxWaitMs);
			case ApplyResult.Unchanged unchanged ->
				new RolloutWaiter(session, fleet).await("unchanged", unchanged.version(), maxWaitMs);
			case ApplyResult.Rejected rejected -> ResultFormat.rejected(rejected.faults());
			case ApplyResult.Conflicting conflicting -> {
				json.addProperty("outcome", "conflict");
				json.addProperty("version", conflicting.version());
				json.add("edits", ResultFormat.editsJson(conflicting.edits()));
				yield CommandResult.of(ExitCode.CONFLICT, json,
						"refused, nothing was written: changes up to version " + conflicting.version()
								+ " touch the same entries:\n" + ResultFormat.editsText(conflicting.edits()));
			}
			case ApplyResult.Unavailable unavailable -> CommandResult.failure(ExitCode.UNREACHABLE,
					"nothing was written, the platform's store: " + unavailable.reason());
			case ApplyResult.Unknown unknown -> {
				json.addProperty("outcome", "unknown");
				json.addProperty("changeId", unknown.changeId());
				json.addProperty("reason", unknown.reason());
				yield CommandResult.of(ExitCode.OUTCOME_UNKNOWN, json,
						"outcome unknown: " + unknown.reason() + ". If 'medlardrum history' lists change "
								+ unknown.changeId() + ", it was accepted; applying again is safe");
			}
		};
	}

	@Override
	String example() {
		return "apply --platform-address 127.0.0.1:7000 --base deploy/herd-tally/base.json "
				+ "--overlays deploy/herd-tally --author ana";
	}

}
