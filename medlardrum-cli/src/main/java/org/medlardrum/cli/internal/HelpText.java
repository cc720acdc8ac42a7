package org.medlardrum.cli.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;

/**
 * Formats the help of the command line and of each command.
 */
final class HelpText {

	private HelpText() {
	}

	static String overview(JCommander commander) {
		StringBuilder text = new StringBuilder("Usage: medlardrum <command> [flags]\n\nCommands:\n");
		List<List<String>> rows = new ArrayList<>();
		for (Map.Entry<String, JCommander> entry : commander.getCommands().entrySet()) {
			rows.add(List.of("  " + entry.getKey(), descriptionOf(commander, entry.getKey())));
		}
		text.append(ResultFormat.table(rows))
			.append("\n\n'medlardrum <command> --help' shows the flags of a command and an example.\n");
		return text.append(exitCodes()).toString();
	}

	static String command(JCommander commander, String name, Command command) {
		JCommander parser = commander.getCommands().get(name);
		StringBuilder text = new StringBuilder("Usage: medlardrum " + name + " [flags]");
		if (parser.getMainParameter() != null) {
			text.append(' ').append(parser.getMainParameter().getDescription());
		}
		text.append("\n\n").append(descriptionOf(commander, name)).append(".\n\nFlags:\n");
		List<List<String>> rows = new ArrayList<>();
		parser.getParameters()
			.stream()
			.sorted(Comparator.comparing(ParameterDescription::getLongestName))
			.forEach((flag) -> rows.add(List.of("  " + flag.getLongestName(),
					Command.environmentVariable(flag.getLongestName()), flag.getDescription() + defaultOf(flag))));
		text.append(ResultFormat.table(rows)).append("\n\nExample:\n  bin/medlardrum ").append(command.example());
		return text.append("\n\n").append(exitCodes()).toString();
	}

	private static String descriptionOf(JCommander commander, String name) {
		return commander.getUsageFormatter().getCommandDescription(name);
	}

	private static String defaultOf(ParameterDescription flag) {
		Object value = flag.getDefault();
		boolean shown = value != null && !value.equals("") && !value.equals(false) && !value.equals(List.of());
		return shown ? " (default " + value + ")" : "";
	}

	private static String exitCodes() {
		StringBuilder text = new StringBuilder("Exit codes:\n");
		for (ExitCode code : ExitCode.values()) {
			text.append("  ").append(code.code()).append("  ").append(code.meaning()).append('\n');
		}
		return text.toString();
	}

}
