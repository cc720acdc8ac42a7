package org.medlardrum.entry;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Map;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.entry.internal.host.AddressUnusableException;
import org.medlardrum.entry.internal.host.EntryHost;
import org.medlardrum.entry.internal.settings.Settings;
import org.medlardrum.entry.internal.settings.SettingsParser;
import org.medlardrum.entry.internal.settings.SettingsResult;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a start that fails on a port in use without naming its flag.
 */
class PortInUseTests {

	@ParameterizedTest
	@ValueSource(strings = { "--listen-port", "--admin-port", "--peer-port" })
	void flagOfThePortInUseIsNamed(String flag) throws Exception {
		try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			String port = Integer.toString(taken.getLocalPort());
			Settings settings = settings(flag, port);
			AddressUnusableException failure = null;
			try (EntryHost host = new EntryHost(settings)) {
				assertThat(host.callerPort()).isEqualTo(-1);
			}
			catch (AddressUnusableException ex) {
				failure = ex;
			}
			assertThat(failure).hasMessageThat().startsWith(flag + ": cannot listen on 127.0.0.1:" + port);
		}
	}

	private static Settings settings(String takenFlag, String takenPort) {
		String[] args = { "--host-id", "entry-1", "--availability-zone", "zone-1", "--platform-address", "127.0.0.1:1",
				"--listen-port", "0", "--admin-port", "0", "--peer-port", "0" };
		for (int i = 0; i < args.length; i += 2) {
			if (args[i].equals(takenFlag)) {
				args[i + 1] = takenPort;
			}
		}
		return ((SettingsResult.Valid) SettingsParser.parse(args, Map.of())).settings();
	}

}
