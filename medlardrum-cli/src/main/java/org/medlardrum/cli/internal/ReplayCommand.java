package org.medlardrum.cli.internal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.gson.Gson;
import com.google.gson.JsonObject;
import org.medlardrum.decisions.ReplayReport;
import org.medlardrum.decisions.TraceReplayer;

/**
 * Replays the decisions of a recorded trace.
 */
@Parameters(
		commandDescription = "Replay the decisions of a recorded trace and compare the outcomes with the recorded ones")
final class ReplayCommand extends Command {

	/**
	 * Longest text of an outcome that is shown, in characters. An unreadable line can
	 * contain the state of all servers; JSON output shows it in full.
	 */
	private static final int MAX_SHOWN_CHARS = 300;

	@Parameter(description = "<trace file>")
	List<String> files = new ArrayList<>();

	@Override
	CommandResult run(Session session) {
		Path file = Path.of(single(this.files, "trace file"));
		List<String> lines;
		try {
			lines = Files.readAllLines(file);
		}
		catch (IOException ex) {
			return CommandResult.failure(ExitCode.FAILED, "file " + file + " cannot be read: " + ex);
		}
		ReplayReport report = new TraceReplayer().replay(lines);
		JsonObject json = new JsonObject();
		json.addProperty("decisions", report.decisions());
		json.add("mismatches", new Gson().toJsonTree(report.mismatches()));
		List<String> text = new ArrayList<>();
		text.add(report.decisions() + " decisions, " + report.mismatches().size() + " mismatches");
		report.mismatches()
			.forEach((mismatch) -> text.add("  line " + mismatch.line() + "\n    recorded "
					+ shorten(mismatch.expected()) + "\n    now      " + shorten(mismatch.actual())));
		return CommandResult.of(report.mismatches().isEmpty() ? ExitCode.OK : ExitCode.FAILED, json,
				String.join("\n", text));
	}

	private static String shorten(String text) {
		return (text.length() > MAX_SHOWN_CHARS) ? text.substring(0, MAX_SHOWN_CHARS) + "..." : text;
	}

	@Override
	String example() {
		return "replay trace.jsonl";
	}

}
