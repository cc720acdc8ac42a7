package org.medlardrum.cli.internal;

import java.nio.file.Path;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against accepting invalid command lines without an error, and against wrong exit
 * codes.
 */
class CommandLineTests {

	private final CliHarness cli = new CliHarness();

	@ParameterizedTest
	@CsvSource(delimiter = '|',
			textBlock = """
					aply                                   | "is not a command; accepted: check, apply"
					status --platfrom-address 127.0.0.1:1  | "unknown flag "--platfrom-address"; accepted: --admin-addresses"
					status extra                           | "unexpected argument "extra""
					status --platform-address localhost    | "--platform-address (MEDLARDRUM_PLATFORM_ADDRESS) is "localhost"; accepted: numeric ip:port"
					status --platform-timeout-ms 0         | "accepted: a whole number from 1 to 600000"
					status --admin-addresses 127.0.0.1     | "--admin-addresses (MEDLARDRUM_ADMIN_ADDRESSES) is "127.0.0.1""
					status --platform-timeout-ms           | "--platform-timeout-ms"
					history --limit many                   | "--limit (MEDLARDRUM_LIMIT) is "many"; accepted: a whole number from 1 to 10000"
					apply                                  | "nothing to apply; accepted: --base, --overlays"
					check                                  | "--base (MEDLARDRUM_BASE) is missing; accepted: a file"
					explain                                | "expected one request id, found 0"
					drain                                  | "no host given"
					burn                                   | "--samples-file (MEDLARDRUM_SAMPLES_FILE) is missing"
					""")
	void wrongCommandLineNamesFlagAndAcceptedValues(String args, String message) {
		assertThat(this.cli.run(args.trim().split(" +"))).isEqualTo(2);
		assertThat(this.cli.err).contains(message.substring(1, message.length() - 1));
		assertThat(this.cli.out).isEmpty();
	}

	@Test
	void environmentReplacesFlagsAndFlagsTakePrecedence() {
		this.cli.environment.putAll(Map.of("MEDLARDRUM_LIMIT", "x", "MEDLARDRUM_JSON", "true"));
		assertThat(this.cli.run("history")).isEqualTo(2);
		assertThat(this.cli.run("history", "--limit", "5")).isEqualTo(0);
		assertThat(this.cli.json().getAsJsonArray("changes")).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "check", "apply", "diff", "history", "status", "drain", "undrain", "explain", "quarantine",
			"replay", "burn" })
	void helpOfEachCommandHasAnExampleAndItsVariables(String command) {
		assertThat(this.cli.run(command, "--help")).isEqualTo(0);
		assertThat(this.cli.out).contains("Example:\n  bin/medlardrum " + command + " ");
		assertThat(this.cli.out).contains("MEDLARDRUM_JSON");
	}

	@Test
	void outageHasItsOwnExitCode() {
		this.cli.store.setOutage(true);
		assertThat(this.cli.run("history")).isEqualTo(3);
		assertThat(this.cli.run("status")).isEqualTo(3);
	}

	@Test
	void statusNamesUnreachableHosts() {
		this.cli.setHostList("127.0.0.1:9001", "127.0.0.1:9002");
		this.cli.responders.put("127.0.0.1:9001", (target) -> CliHarness
			.ok("{\"hostId\":\"h1\",\"configVersion\":4,\"configHash\":\"0123456789abcdef\",\"ready\":true}"));
		assertThat(this.cli.run("status")).isEqualTo(3);
		assertThat(this.cli.out).contains("h1");
		assertThat(this.cli.out).contains("0123456789ab");
		assertThat(this.cli.out).contains("connection refused");
	}

	@Test
	void drainFindsHostsByIdAndReportsThoseStillBusy() {
		this.cli.setHostList("127.0.0.1:9001", "127.0.0.1:9002");
		this.cli.responders.put("127.0.0.1:9002", (target) -> CliHarness.ok("{\"inFlight\":2}"));
		assertThat(this.cli.run("drain", "--wait-ms", "1000", "host-1")).isEqualTo(1);
		assertThat(this.cli.adminCalls.get(0)).isEqualTo("POST 127.0.0.1:9002/drain");
		assertThat(this.cli.out).contains("2 requests still in flight");
		assertThat(this.cli.run("drain", "host-7")).isEqualTo(2);
	}

	@Test
	void explainQueriesAllHostsForTheRequest() {
		this.cli.setHostList("127.0.0.1:9001", "127.0.0.1:9002");
		this.cli.responders.put("127.0.0.1:9001", (target) -> new AdminResponse(404, "", ""));
		this.cli.responders.put("127.0.0.1:9002", (target) -> target.equals("/explain/a%2Fb")
				? CliHarness.ok("{\"x\":1}") : new AdminResponse(404, "", ""));
		assertThat(this.cli.run("explain", "a/b")).isEqualTo(0);
		assertThat(this.cli.out).contains("127.0.0.1:9002");
		assertThat(this.cli.run("explain", "other")).isEqualTo(1);
	}

	@Test
	void replayReportsLinesThatCannotBeReplayed(@TempDir Path directory) throws Exception {
		Path trace = directory.resolve("trace.jsonl");
		java.nio.file.Files.writeString(trace, "{}\n");
		assertThat(this.cli.run("replay", "--json", trace.toString())).isEqualTo(1);
		assertThat(this.cli.json().getAsJsonArray("mismatches")).hasSize(1);
	}

}
