package org.medlardrum.standins;

/**
 * A subcommand of {@link StandIns}.
 */
interface Command {

	// Runs until the work is done or the process is stopped and returns the exit code.
	int run() throws Exception;

}
