package org.medlardrum.standins;

/**
 * A subcommand of {@link StandIns}.
 */
interface Command {

	// Blocks until the command is complete or the process is stopped; returns the exit
	// code.
	int run() throws Exception;

}
