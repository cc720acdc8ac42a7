package org.medlardrum.entry;

import org.medlardrum.entry.internal.host.AddressUnusableException;
import org.medlardrum.entry.internal.host.EntryHost;
import org.medlardrum.entry.internal.settings.Settings;
import org.medlardrum.entry.internal.settings.SettingsParser;
import org.medlardrum.entry.internal.settings.SettingsResult;
import org.tinylog.Logger;
import org.tinylog.provider.ProviderRegistry;

/**
 * Main class of the entry host process.
 */
public final class Main {

	private static final int USAGE_ERROR = 2;

	private static final int START_ERROR = 1;

	private Main() {
	}

	/**
	 * Runs the process until it receives a termination signal, then drains the host.
	 * @param args command-line flags
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
		EntryHost host;
		try {
			host = new EntryHost(settings);
		}
		catch (AddressUnusableException ex) {
			System.err.println("medlardrum-entry: " + ex.getMessage());
			System.exit(START_ERROR);
			return;
		}
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			host.drain();
			stop(host);
		}, "shutdown"));
		host.awaitStopped();
		stop(host);
	}

	// Halts with status 0, since a graceful shutdown must not exit with the status of the
	// signal. Log entries are written by a separate thread, which must finish first.
	private static synchronized void stop(EntryHost host) {
		host.close();
		Logger.info("http: host stopped");
		try {
			ProviderRegistry.getLoggingProvider().shutdown();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		Runtime.getRuntime().halt(0);
	}

}
