package org.medlardrum.cli.internal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.gson.JsonObject;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.state.config.ConfigDocuments;
import org.medlardrum.state.config.ConfigParser;
import org.medlardrum.state.config.ConfigResult;

/**
 * Reports error-budget burn rates from samples of the entry hosts' metrics. The command
 * collects the samples in a file because entry hosts keep no history.
 */
@Parameters(
		commandDescription = "Report burn rates and error budgets from a file of samples, or add a sample with --sample")
final class BurnCommand extends StoreCommand {

	@Parameter(names = "--sample",
			description = "Scrape the metrics of the entry hosts once and append them to the samples file")
	boolean sample;

	@Parameter(names = "--samples-file", description = "File of samples, one JSON object per line")
	String samplesFile = "";

	@Parameter(names = "--html-file", description = "Also write the report to this file as an HTML page")
	String htmlFile = "";

	@Parameter(names = "--windows-min",
			description = "Windows of the burn rates, in minutes, separated by commas; each ends at the last sample")
	List<String> windowsMin = List.of("5", "60", "360", "4320");

	@Parameter(names = "--budget-days", description = "Period of the error budget, in days")
	String budgetDays = "30";

	@Parameter(names = "--objective-urgent",
			description = "Fraction of requests of rank urgent that must meet their target; with --platform-address, "
					+ "the configured one by default")
	String objectiveUrgent = "";

	@Parameter(names = "--objective-standard", description = "The same for rank standard")
	String objectiveStandard = "";

	@Parameter(names = "--objective-background", description = "The same for rank background")
	String objectiveBackground = "";

	@Override
	CommandResult run(Session session) {
		if (this.samplesFile.isEmpty()) {
			throw invalidValue("--samples-file", "", "a file");
		}
		return this.sample ? takeSample(session) : report(session);
	}

	private CommandResult takeSample(Session session) {
		StoreResult<Fleet> fleet = fleet(session);
		if (!(fleet instanceof StoreResult.Ok<Fleet> found)) {
			return storeFailure(fleet);
		}
		long nowMs = session.clock().millis();
		StringBuilder lines = new StringBuilder();
		List<String> notSampled = new ArrayList<>();
		found.value().callAll("GET", "/metrics").forEach((address, response) -> {
			Optional<BurnSample> scraped = BurnSample.scrape(nowMs, address, response);
			scraped.ifPresentOrElse((burnSample) -> lines.append(burnSample.toLine()).append('\n'),
					() -> notSampled.add(address + " (" + response.describe() + ")"));
		});
		try {
			Files.writeString(Path.of(this.samplesFile), lines, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
		}
		catch (IOException ex) {
			return CommandResult.failure(ExitCode.FAILED, "file " + this.samplesFile + " cannot be written: " + ex);
		}
		int total = found.value().addresses().size();
		JsonObject json = new JsonObject();
		json.addProperty("sampled", total - notSampled.size());
		json.addProperty("hosts", total);
		String text = "sampled " + (total - notSampled.size()) + " of " + total + " entry hosts";
		return notSampled.isEmpty() ? CommandResult.of(ExitCode.OK, json, text)
				: CommandResult.of(ExitCode.UNREACHABLE, json, text + ", not: " + String.join(", ", notSampled));
	}

	private CommandResult report(Session session) {
		List<Long> windows = this.windowsMin.stream()
			.map((window) -> wholeNumber("--windows-min", window, 1, 525_600))
			.toList();
		long periodDays = wholeNumber("--budget-days", this.budgetDays, 1, 366);
		Map<String, Double> objectives = objectives(session);
		List<BurnSample> samples = new ArrayList<>();
		int unreadable = 0;
		try {
			for (String line : Files.readAllLines(Path.of(this.samplesFile))) {
				Optional<BurnSample> parsed = BurnSample.fromLine(line);
				parsed.ifPresent(samples::add);
				unreadable += parsed.isPresent() ? 0 : 1;
			}
			BurnHistory history = new BurnHistory(samples);
			BurnReport report = BurnReport.of(history, objectives, windows, periodDays);
			if (!this.htmlFile.isEmpty()) {
				Files.writeString(Path.of(this.htmlFile), new BurnHtmlPage(report, history).toHtml());
			}
			JsonObject json = report.toJson();
			json.addProperty("samples", samples.size());
			json.addProperty("unreadableLines", unreadable);
			String note = (unreadable > 0) ? "\n" + unreadable + " unreadable line(s) left out" : "";
			return CommandResult.of(ExitCode.OK, json, report.toText() + note);
		}
		catch (IOException ex) {
			return CommandResult.failure(ExitCode.FAILED, "a file cannot be read or written: " + ex);
		}
	}

	private Map<String, Double> objectives(Session session) {
		Map<String, Double> objectives = new HashMap<>(Map.of("urgent", 0.99, "standard", 0.95, "background", 0.90));
		if (!this.platformAddress.isEmpty() && log(session).load() instanceof StoreResult.Ok<ConfigDocuments> ok
				&& ConfigParser.parse(ok.value().base()) instanceof ConfigResult.Valid valid) {
			valid.configuration()
				.ranks()
				.forEach((rank, config) -> objectives.put(rank.wireName(), config.objective()));
		}
		Map<String, String> flags = Map.of("urgent", this.objectiveUrgent, "standard", this.objectiveStandard,
				"background", this.objectiveBackground);
		flags.forEach((rank, value) -> {
			if (!value.isEmpty()) {
				objectives.put(rank, fraction("--objective-" + rank, value));
			}
		});
		return objectives;
	}

	@Override
	String example() {
		return "burn --samples-file burn.jsonl --html-file burn.html";
	}

}
