package org.medlardrum.entry;

import org.medlardrum.entry.internal.host.EntryHost;
import org.medlardrum.entry.internal.settings.Settings;
import org.medlardrum.entry.internal.settings.SettingsParser;
import org.medlardrum.entry.internal.settings.SettingsResult;
import org.tinylog.Logger;

/**
 * Main class of the entry host process.
 */
public final class Main {

	private static final int USAGE_ERROR = 2;

	private Main() {
	}

	/**
	 * Runs the process until it is drained or stopped.
	 * @param args flags
	 * @throws Exception if the host cannot start
	 */
	public static void main(String[] args) throws Exception {
		switch (SettingsParser.parse(args, System.getenv())) {
			case SettingsResult.Help help -> System.out.print(help.text());
			case SettingsResult.Invalid invalid -> {
				invalid.faults().forEach((fault) -> System.err.println("medlardrum-entry: " + fault));
				System.exit(USAGE_ERROR);
			}
			case SettingsResult.Valid valid when valid.checkOnly() -> System.out.println("settings are valid");
			case SettingsResult.Valid valid -> run(valid.settings());
		}
	}

	private static void run(Settings settings) throws Exception {
		EntryHost host = new EntryHost(settings);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(host), "shutdown"));
		host.awaitStopped();
		Logger.info("http: host stops");
		host.close();
		Runtime.getRuntime().halt(0);
	}

	// A graceful shutdown ends with status 0, not with the status of the signal.
	private static void stop(EntryHost host) {
		host.drain();
		host.close();
		Runtime.getRuntime().halt(0);
	}

}
