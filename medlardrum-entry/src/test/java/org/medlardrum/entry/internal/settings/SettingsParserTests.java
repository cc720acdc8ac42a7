package org.medlardrum.entry.internal.settings;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a start with invalid settings, and against reporting only one of several
 * faults.
 */
class SettingsParserTests {

	private static final Map<String, String> COMPLETE = Map.of("MEDLARDRUM_HOST_ID", "entry-1",
			"MEDLARDRUM_AVAILABILITY_ZONE", "zone-1", "MEDLARDRUM_LISTEN_PORT", "1", "MEDLARDRUM_ADMIN_PORT", "2",
			"MEDLARDRUM_PEER_PORT", "3", "MEDLARDRUM_PLATFORM_ADDRESS", "127.0.0.1:4");

	@Test
	void flagTakesPrecedenceOverItsVariable() {
		SettingsResult result = SettingsParser.parse(new String[] { "--listen-port", "9", "--check" }, COMPLETE);
		assertThat(result).isInstanceOf(SettingsResult.Valid.class);
		assertThat(((SettingsResult.Valid) result).settings().callerAddress()).isEqualTo("127.0.0.1:9");
		assertThat(((SettingsResult.Valid) result).settings().adminAddress()).isEqualTo("127.0.0.1:2");
		assertThat(((SettingsResult.Valid) result).checkOnly()).isTrue();
	}

	@Test
	void allFaultsAreReportedWithFlagAndVariable() {
		String[] args = { "--host-id", "a b", "--listen-port", "70000", "--platform-address", "example.org:1",
				"--stall-timeout-ms", "soon", "--peer-ranges", "10.0.0.0/99", "--unknown" };
		SettingsResult result = SettingsParser.parse(args, COMPLETE);
		assertThat(result).isInstanceOf(SettingsResult.Invalid.class);
		List<String> faults = ((SettingsResult.Invalid) result).faults();
		assertThat(faults).hasSize(6);
		assertThat(String.join("\n", faults)).contains("--stall-timeout-ms (MEDLARDRUM_STALL_TIMEOUT_MS) is \"soon\"");
		assertThat(String.join("\n", faults)).contains("\"--unknown\"");
	}

	@Test
	void missingSettingsAreFaults() {
		SettingsResult result = SettingsParser.parse(new String[0], Map.of());
		assertThat(((SettingsResult.Invalid) result).faults()).hasSize(6);
	}

}
