package org.medlardrum.entry.internal.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.medlardrum.transport.internal.Addresses;
import org.medlardrum.transport.peer.CidrRange;
import org.medlardrum.transport.peer.PeerOptions;
import org.medlardrum.transport.server.ServerLimits;

/**
 * Parses the settings from flags and environment variables. A flag takes precedence over
 * its variable, such as {@code --listen-port} over {@code MEDLARDRUM_LISTEN_PORT}.
 */
public final class SettingsParser {

	private static final String PREFIX = "MEDLARDRUM_";

	private static final long MAX_MS = 86_400_000;

	private static final int MAX_PORT = 65_535;

	private final Flags flags = new Flags();

	private final List<String> faults = new ArrayList<>();

	private SettingsParser() {
	}

	/**
	 * Parses the settings.
	 * @param args command-line arguments
	 * @param environment environment variables
	 * @return the settings, or all their faults
	 */
	public static SettingsResult parse(String[] args, Map<String, String> environment) {
		return new SettingsParser().read(args, environment);
	}

	/**
	 * Returns the name of the environment variable for a flag.
	 * @param flag name of the flag, with its leading hyphens
	 * @return name of the variable
	 */
	static String variable(String flag) {
		return PREFIX + flag.substring(2).toUpperCase(Locale.ROOT).replace('-', '_');
	}

	private SettingsResult read(String[] args, Map<String, String> environment) {
		JCommander commander = JCommander.newBuilder()
			.programName("medlardrum-entry")
			.addObject(this.flags)
			.acceptUnknownOptions(true)
			.defaultProvider((flag) -> (flag.startsWith("--")) ? environment.get(variable(flag)) : null)
			.build();
		try {
			commander.parse(args);
		}
		catch (ParameterException ex) {
			this.faults.add(ex.getMessage());
		}
		if (this.flags.help) {
			StringBuilder text = new StringBuilder();
			commander.getUsageFormatter().usage(text);
			return new SettingsResult.Help(text.toString());
		}
		commander.getUnknownOptions().forEach((option) -> this.faults.add("unknown flag \"" + option + "\""));
		this.flags.rest.forEach((argument) -> this.faults.add("unexpected argument \"" + argument + "\""));
		Settings settings = settings();
		return (this.faults.isEmpty()) ? new SettingsResult.Valid(settings, this.flags.check)
				: new SettingsResult.Invalid(this.faults);
	}

	private Settings settings() {
		String hostId = name("--host-id", this.flags.hostId);
		String zone = name("--availability-zone", this.flags.availabilityZone);
		String caller = listener("--listen-port", this.flags.listenPort);
		String admin = listener("--admin-port", this.flags.adminPort);
		String peer = listener("--peer-port", this.flags.peerPort);
		String platform = address("--platform-address", this.flags.platformAddress);
		long platformTimeoutMs = number("--platform-timeout-ms", this.flags.platformTimeoutMs, 1, MAX_MS);
		PeerOptions peers = PeerOptions.of(ranges());
		ServerLimits limits = limits();
		int connectTimeoutMs = (int) number("--connect-timeout-ms", this.flags.connectTimeoutMs, 1, MAX_MS);
		return new Settings(hostId, zone, caller, admin, peer, platform, platformTimeoutMs, seedPeers(), peers, limits,
				connectTimeoutMs, number("--first-frame-timeout-ms", this.flags.firstFrameTimeoutMs, 1, MAX_MS),
				number("--stall-timeout-ms", this.flags.stallTimeoutMs, 1, MAX_MS),
				number("--poll-interval-ms", this.flags.pollIntervalMs, 50, MAX_MS),
				number("--drain-delay-ms", this.flags.drainDelayMs, 0, MAX_MS),
				number("--drain-timeout-ms", this.flags.drainTimeoutMs, 0, MAX_MS),
				(int) number("--admission-ring-size", this.flags.admissionRingSize, 2, 1 << 20), policy());
	}

	private Policy policy() {
		for (Policy policy : Policy.values()) {
			if (policy.name().toLowerCase(Locale.ROOT).equals(this.flags.policy)) {
				return policy;
			}
		}
		fault("--policy", this.flags.policy, "fair or baseline");
		return Policy.FAIR;
	}

	private ServerLimits limits() {
		return new ServerLimits((int) number("--max-connections", this.flags.maxConnections, 1, 1 << 20),
				(int) number("--max-header-bytes", this.flags.maxHeaderBytes, 256, 1 << 20),
				number("--idle-timeout-ms", this.flags.idleTimeoutMs, 1, MAX_MS),
				number("--body-timeout-ms", this.flags.bodyTimeoutMs, 1, MAX_MS),
				number("--write-timeout-ms", this.flags.writeTimeoutMs, 1, MAX_MS));
	}

	private String name(String flag, String value) {
		if (!value.matches("[A-Za-z0-9._-]{1,64}")) {
			fault(flag, value, "1 to 64 letters, digits, dots, hyphens or underscores");
		}
		return value;
	}

	private String listener(String flag, String port) {
		long number = number(flag, port, 0, MAX_PORT);
		return address("--listen-ip", this.flags.listenIp + ":" + number);
	}

	private String address(String flag, String value) {
		try {
			Addresses.parse(value);
		}
		catch (IllegalArgumentException ex) {
			fault(flag, value, "a numeric ip:port");
		}
		return value;
	}

	private List<String> seedPeers() {
		List<String> seeds = new ArrayList<>();
		for (String seed : this.flags.seedPeers.split(",")) {
			if (!seed.isBlank()) {
				seeds.add(address("--seed-peers", seed.trim()));
			}
		}
		return seeds;
	}

	private List<CidrRange> ranges() {
		List<CidrRange> ranges = new ArrayList<>();
		for (String range : this.flags.peerRanges.split(",")) {
			try {
				ranges.add(CidrRange.parse(range.trim()));
			}
			catch (IllegalArgumentException ex) {
				fault("--peer-ranges", range, "address ranges such as 10.0.0.0/8");
			}
		}
		return ranges;
	}

	private long number(String flag, String value, long min, long max) {
		try {
			long number = Long.parseLong(value);
			if (number >= min && number <= max) {
				return number;
			}
		}
		catch (NumberFormatException ex) {
			fault(flag, value, "a number from " + min + " to " + max);
			return min;
		}
		fault(flag, value, "a number from " + min + " to " + max);
		return min;
	}

	private void fault(String flag, String value, String accepted) {
		String fault = flag + " (" + variable(flag) + ") is \"" + value + "\"; it must be " + accepted;
		if (!this.faults.contains(fault)) {
			this.faults.add(fault);
		}
	}

}
