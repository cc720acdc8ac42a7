package org.medlardrum.transport.internal;

import java.util.function.Function;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an address that is accepted although nobody can be reached there, and
 * against a lookup of a host name.
 */
class AddressesTests {

	private static void assertRejected(Function<String, ?> parser, String address) {
		String outcome = "accepted";
		try {
			parser.apply(address);
		}
		catch (IllegalArgumentException ex) {
			outcome = ex.getMessage();
		}
		assertThat(outcome).contains('"' + address + '"');
	}

	@ParameterizedTest
	@ValueSource(strings = { "", " ", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999", "127.0.0.1:-1",
			"127.0.0.1:+80", "127.0.0.1: 80", " 127.0.0.1:80", "127.0.0.1:80 ", "127.0.0.1:80\n",
			"127.0.0.1:99999999999", "127.0.0.1:\u0668\u0660", "localhost:80", "a:1", "1:80", "1.2:80", "1.2.3:80",
			"1.2.3.4.5:80", "999.1.1.1:80", "256.0.0.1:80", "...:80", "0127.0.0.1:80", "::1:80", "[::1]", "[::1",
			"[]:80", "[:]:80", "[1.2.3.4]:80", "[::1%eth0]:80", "[::12345]:80", "127.0.0.1:80:80" })
	void addressThatIsNotNumericIsRejected(String address) {
		assertRejected(Addresses::parse, address);
		assertRejected(Addresses::parseRemote, address);
	}

	@ParameterizedTest
	@ValueSource(strings = { "127.0.0.1:0", "[::1]:0", "0.0.0.0:80", "[::]:80" })
	void addressToListenAtIsNoAddressToConnectTo(String address) {
		assertThat(Addresses.parse(address).getPort()).isAtLeast(0);
		assertRejected(Addresses::parseRemote, address);
	}

	@ParameterizedTest
	@CsvSource({ "127.0.0.1:80, 127.0.0.1, 80", "10.128.0.9:65535, 10.128.0.9, 65535", "[::1]:1, 0:0:0:0:0:0:0:1, 1",
			"[2001:db8::1:2]:8080, 2001:db8:0:0:0:0:1:2, 8080" })
	void soundAddressIsRead(String address, String ip, int port) {
		assertThat(Addresses.parseRemote(address).getAddress().getHostAddress()).isEqualTo(ip);
		assertThat(Addresses.parseRemote(address).getPort()).isEqualTo(port);
	}

}
