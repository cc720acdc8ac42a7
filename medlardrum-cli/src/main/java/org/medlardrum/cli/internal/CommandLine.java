package org.medlardrum.cli.internal;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import com.beust.jcommander.ParameterException;
import com.google.gson.GsonBuilder;

/**
 * Parses the command line and the environment and runs one command. A flag takes
 * precedence over its environment variable: {@code --platform-address} over
 * {@code MEDLARDRUM_PLATFORM_ADDRESS}.
 */
public final class CommandLine {

	private final Map<String, Command> commands = new LinkedHashMap<>();

	private final Session session;

	private final JCommander commander;

	/**
	 * Creates a command line.
	 * @param environment environment variables
	 * @param session access to store and entry hosts
	 */
	public CommandLine(Map<String, String> environment, Session session) {
		this.session = session;
		this.commands.put("check", new CheckCommand());
		this.commands.put("apply", new ApplyCommand());
		this.commands.put("diff", new DiffCommand());
		this.commands.put("history", new HistoryCommand());
		this.commands.put("status", new StatusCommand());
		this.commands.put("drain", new DrainCommand());
		this.commands.put("undrain", new UndrainCommand());
		this.commands.put("explain", new ExplainCommand());
		this.commands.put("quarantine", new QuarantineCommand());
		this.commands.put("replay", new ReplayCommand());
		this.commands.put("story", new StoryCommand());
		this.commands.put("burn", new BurnCommand());
		JCommander.Builder builder = JCommander.newBuilder()
			.programName("medlardrum")
			.defaultProvider(
					(flag) -> flag.startsWith("--") ? environment.get(Command.environmentVariable(flag)) : null);
		this.commands.forEach(builder::addCommand);
		this.commander = builder.build();
	}

	/**
	 * Runs the command that the arguments name.
	 * @param args command and flags
	 * @param out receives the result
	 * @param err receives errors
	 * @return exit code of the process
	 */
	public int run(String[] args, PrintStream out, PrintStream err) {
		if (args.length == 0 || args[0].equals("--help") || args[0].equals("help")) {
			((args.length == 0) ? err : out).print(HelpText.overview(this.commander));
			return ((args.length == 0) ? ExitCode.USAGE : ExitCode.OK).code();
		}
		try {
			Command command = parse(args);
			if (command.help) {
				out.print(HelpText.command(this.commander, args[0], command));
				return ExitCode.OK.code();
			}
			CommandResult result = command.run(this.session);
			print(command, result, out, err);
			return result.exitCode().code();
		}
		catch (ParameterException ex) {
			err.println("medlardrum " + args[0] + ": " + ex.getMessage());
			return ExitCode.USAGE.code();
		}
	}

	private Command parse(String[] args) {
		Command command = this.commands.get(args[0]);
		if (command == null) {
			throw new ParameterException("is not a command; accepted: " + String.join(", ", this.commands.keySet()));
		}
		checkFlags(this.commander.getCommands().get(args[0]), Arrays.asList(args).subList(1, args.length));
		this.commander.parse(args);
		return command;
	}

	private static void checkFlags(JCommander parser, List<String> args) {
		// JCommander would treat an unknown flag as a positional argument.
		Map<String, ParameterDescription> knownFlags = new TreeMap<>();
		parser.getParameters().forEach((flag) -> knownFlags.put(flag.getLongestName(), flag));
		for (int index = 0; index < args.size(); index++) {
			String arg = args.get(index);
			if (!arg.startsWith("-")) {
				if (parser.getMainParameter() == null) {
					throw new ParameterException("unexpected argument \"" + arg + "\"; accepted: flags only");
				}
				continue;
			}
			ParameterDescription flag = knownFlags.get(arg);
			if (flag == null) {
				throw new ParameterException(
						"unknown flag \"" + arg + "\"; accepted: " + String.join(", ", knownFlags.keySet()));
			}
			if (flag.getParameterized().getType() != boolean.class) {
				index++;
			}
		}
	}

	private static void print(Command command, CommandResult result, PrintStream out, PrintStream err) {
		if (command.json) {
			out.println(new GsonBuilder().serializeNulls().disableHtmlEscaping().create().toJson(result.json()));
		}
		else {
			// A partial result, such as that of some of the hosts, is still a result.
			(result.json().has("error") ? err : out).println(result.text());
		}
	}

}
