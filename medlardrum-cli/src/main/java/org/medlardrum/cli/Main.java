package org.medlardrum.cli;

import org.medlardrum.cli.internal.CommandLine;
import org.medlardrum.cli.internal.Session;

/**
 * Entry point of {@code bin/medlardrum}.
 */
public final class Main {

	private Main() {
	}

	/**
	 * Runs one command and ends the process with its exit code.
	 * @param args command and flags
	 */
	public static void main(String[] args) {
		int exitCode;
		try (Session session = Session.overHttp()) {
			exitCode = new CommandLine(System.getenv(), session).run(args, System.out, System.err);
		}
		System.out.flush();
		System.exit(exitCode);
	}

}
