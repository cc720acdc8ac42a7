package org.medlardrum.cli.internal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.google.gson.Gson;
import com.google.gson.JsonObject;

/**
 * Prints the log lines of one request in the order of time, with the lines about servers,
 * store and configuration from around that time.
 */
@Parameters(commandDescription = "Print the timeline of one request from the logs of the entry host that handled it")
final class StoryCommand extends Command {

	private static final long MAX_MARGIN_MS = 3_600_000;

	private static final Map<String, String> OUTCOME_MEANINGS = Map.ofEntries(
			Map.entry("answered", "The caller received the complete response."),
			Map.entry("refused",
					"The request was not executed; the caller was told when to retry. See the last reason."),
			Map.entry("configuration-not-confirmed",
					"The host could not confirm its configuration with the store in time; the request was not "
							+ "executed. See the lines with part=store."),
			Map.entry("no-configuration",
					"The host had just started and had no configuration; the request was not executed."),
			Map.entry("unknown-key",
					"No organisation has the API key in the configuration in force. See the lines with part=config."),
			Map.entry("unknown-route",
					"No route of the configuration in force matches. See the lines with part=config."),
			Map.entry("draining", "The host was shutting down; the request was not executed."),
			Map.entry("answer-lost",
					"A server may have executed the request, but its response was lost; it was not retried."),
			Map.entry("broken-off",
					"The stream failed after it had started, and failover to another chain was not possible."),
			Map.entry("timed-out",
					"The timeout of the caller or the route expired while a server handled the request."),
			Map.entry("host-stopped",
					"The host was shut down before the response was complete. See the lines with part=process."),
			Map.entry("server-error", "The server responded with an error."),
			Map.entry("caller-left", "The caller closed its connection before the response was complete."));

	@Parameter(names = "--id", description = "Id of the request")
	String id = "";

	@Parameter(names = "--around-ms",
			description = "Time before and after the request from which lines about servers, store and configuration "
					+ "are included")
	String aroundMs = "2000";

	@Parameter(description = "<log file> ...")
	List<String> files = new ArrayList<>();

	@Override
	CommandResult run(Session session) {
		if (this.id.isEmpty()) {
			throw invalidValue("--id", this.id, "the id of a request");
		}
		if (this.files.isEmpty()) {
			throw new ParameterException("expected a log file, found none");
		}
		long marginMs = wholeNumber("--around-ms", this.aroundMs, 0, MAX_MARGIN_MS);
		List<LogLine> lines = new ArrayList<>();
		for (String file : this.files) {
			try (var text = Files.lines(Path.of(file))) {
				text.forEach((line) -> LogLine.parse(line).ifPresent(lines::add));
			}
			catch (IOException ex) {
				return CommandResult.failure(ExitCode.FAILED, "file " + file + " cannot be read: " + ex);
			}
		}
		List<LogLine> requestLines = lines.stream().filter((line) -> line.get("id").equals(this.id)).toList();
		if (requestLines.isEmpty()) {
			return CommandResult.failure(ExitCode.FAILED, "no line names request " + this.id);
		}
		return timeline(lines, requestLines, marginMs);
	}

	private CommandResult timeline(List<LogLine> lines, List<LogLine> requestLines, long marginMs) {
		long fromMs = requestLines.stream().mapToLong(LogLine::atMs).min().orElse(0) - marginMs;
		long toMs = requestLines.stream().mapToLong(LogLine::atMs).max().orElse(0) + marginMs;
		List<LogLine> timeline = lines.stream()
			.filter((line) -> requestLines.contains(line)
					|| (line.isContext() && line.atMs() >= fromMs && line.atMs() <= toMs))
			.sorted(Comparator.comparingLong(LogLine::atMs))
			.toList();
		String outcome = requestLines.stream()
			.filter((line) -> line.get("event").equals("end"))
			.map((line) -> line.get("outcome"))
			.findFirst()
			.orElse("none logged");
		String meaning = OUTCOME_MEANINGS.getOrDefault(outcome,
				"The logs do not contain the end of the request; the process may have ended.");
		List<String> text = new ArrayList<>();
		text.add("request " + this.id + ": " + outcome + ". " + meaning);
		long startMs = requestLines.getFirst().atMs();
		timeline.forEach((line) -> text.add(describe(line, startMs)));
		JsonObject json = new JsonObject();
		json.addProperty("outcome", outcome);
		json.add("lines", new Gson().toJsonTree(timeline.stream().map(LogLine::fields).toList()));
		return CommandResult.of(ExitCode.OK, json, String.join("\n", text));
	}

	private String describe(LogLine line, long startMs) {
		StringBuilder text = new StringBuilder(
				String.format("%+7d ms %s ", line.atMs() - startMs, (line.get("id").equals(this.id)) ? "*" : " "));
		text.append(line.get("part")).append(' ').append(line.get("event"));
		line.fields().forEach((name, value) -> {
			if (!List.of("t", "part", "event", "id").contains(name)) {
				text.append(' ').append(name).append('=').append(value);
			}
		});
		return text.toString();
	}

	@Override
	String example() {
		return "story --id 9c41d07be2a35f68 entry-host.log";
	}

}
