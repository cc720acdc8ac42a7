package org.medlardrum.standins;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;

/**
 * Command-line entry point of the stand-ins, the load generator and the simulations.
 * Example: {@code StandIns platform --listen-port 7000}.
 */
public final class StandIns {

	private StandIns() {
	}

	/**
	 * Runs a subcommand.
	 * @param args name of the subcommand and its flags
	 * @throws Exception if the subcommand fails
	 */
	public static void main(String[] args) throws Exception {
		Map<String, Command> commands = new LinkedHashMap<>();
		commands.put("platform", new PlatformCommand());
		commands.put("engine", new EngineCommand());
		commands.put("service", new ServiceCommand());
		commands.put("load", new LoadCommand());
		commands.put("bound", new BoundCommand());
		commands.put("experiment", new ExperimentCommand());
		JCommander.Builder builder = JCommander.newBuilder().programName("medlardrum-standins");
		commands.forEach(builder::addCommand);
		JCommander parser = builder.build();
		if (List.of(args).contains("--help")) {
			printHelp(parser, commands.containsKey(args[0]) ? args[0] : null);
			return;
		}
		try {
			parser.parse(args);
		}
		catch (ParameterException ex) {
			System.err.println(ex.getMessage());
			System.exit(2);
		}
		Command command = commands.get(parser.getParsedCommand());
		if (command == null) {
			parser.usage();
			System.exit(2);
			return;
		}
		System.exit(run(command));
	}

	private static int run(Command command) throws Exception {
		try {
			return command.run();
		}
		catch (IOException | IllegalArgumentException | IllegalStateException | ParameterException ex) {
			System.err.println(ex.getMessage());
			return 2;
		}
	}

	private static void printHelp(JCommander parser, String command) {
		if (command != null) {
			parser.getUsageFormatter().usage(command);
		}
		else {
			parser.usage();
		}
	}

}
