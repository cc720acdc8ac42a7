package org.medlardrum.entry.internal.settings;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/**
 * Command-line flags, kept as text so that all faults can be reported at once.
 */
final class Flags {

	@Parameter(names = "--host-id", description = "Unique name of this host, as in the platform's host list")
	String hostId = "";

	@Parameter(names = "--availability-zone",
			description = "Availability zone of this host, which is also its site in the configuration")
	String availabilityZone = "";

	@Parameter(names = "--listen-ip", description = "Numeric IP address of all listeners")
	String listenIp = "127.0.0.1";

	@Parameter(names = "--listen-port", description = "Port for callers")
	String listenPort = "";

	@Parameter(names = "--admin-port", description = "Port for operators")
	String adminPort = "";

	@Parameter(names = "--peer-port", description = "UDP and TCP port for other entry hosts")
	String peerPort = "";

	@Parameter(names = "--platform-address", description = "ip:port of the platform's key-value service")
	String platformAddress = "";

	@Parameter(names = "--platform-timeout-ms", description = "Timeout of calls to the platform, in milliseconds")
	String platformTimeoutMs = "1000";

	@Parameter(names = "--seed-peers",
			description = "Comma-separated ip:port of peers that provide the host list during a platform outage")
	String seedPeers = "";

	@Parameter(names = "--peer-ranges", description = "Comma-separated address ranges of peers, such as 10.0.0.0/8")
	String peerRanges = "127.0.0.0/8";

	@Parameter(names = "--max-connections", description = "Maximum number of concurrent connections of callers")
	String maxConnections = "4096";

	@Parameter(names = "--max-header-bytes", description = "Maximum size of the start line or a header field, in bytes")
	String maxHeaderBytes = "8192";

	@Parameter(names = "--idle-timeout-ms",
			description = "Time after which an idle connection is closed, in milliseconds")
	String idleTimeoutMs = "60000";

	@Parameter(names = "--body-timeout-ms", description = "Maximum time to receive a request body, in milliseconds")
	String bodyTimeoutMs = "10000";

	@Parameter(names = "--write-timeout-ms",
			description = "Maximum time for which a caller may leave a response unread, in milliseconds")
	String writeTimeoutMs = "10000";

	@Parameter(names = "--connect-timeout-ms",
			description = "Maximum time to connect to a backend server, in milliseconds")
	String connectTimeoutMs = "500";

	@Parameter(names = "--first-frame-timeout-ms",
			description = "Time without a first frame after which an attempt moves to another chain, "
					+ "if there is one, in milliseconds")
	String firstFrameTimeoutMs = "10000";

	@Parameter(names = "--stall-timeout-ms",
			description = "Time between frames after which an attempt moves to another chain, if there is one, "
					+ "in milliseconds")
	String stallTimeoutMs = "1500";

	@Parameter(names = "--poll-interval-ms",
			description = "Interval between polls of a backend server's load, in milliseconds")
	String pollIntervalMs = "5000";

	@Parameter(names = "--drain-delay-ms",
			description = "Time from failing readiness to refusing new requests, in milliseconds")
	String drainDelayMs = "2000";

	@Parameter(names = "--drain-timeout-ms",
			description = "Maximum wait for requests in progress at shutdown, in milliseconds")
	String drainTimeoutMs = "600000";

	@Parameter(names = "--admission-ring-size",
			description = "Maximum number of messages queued for the admission thread")
	String admissionRingSize = "4096";

	@Parameter(names = "--policy",
			description = "Decision policy of the host: fair, or baseline for comparison measurements "
					+ "(first come first served, round robin, no retries)")
	String policy = "fair";

	@Parameter(names = "--check", description = "Check the settings and exit")
	boolean check;

	@Parameter(names = "--help", help = true, description = "Print the flags and exit")
	boolean help;

	@Parameter(description = "", hidden = true)
	List<String> rest = new ArrayList<>();

}
