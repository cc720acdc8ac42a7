package org.medlardrum.entry;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.TreeMap;

import com.google.gson.JsonParser;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.standins.ServiceStandIn;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against unintended changes of the HTTP interface for callers that no other test
 * covers. Each file holds a raw request and, after the line {@code ====}, the raw
 * response with volatile fields replaced. Run with {@code -Dmedlardrum.sessions=write} to
 * rewrite the files.
 */
class SessionTests {

	private static final String SEPARATOR = "\n====\n";

	private static final Path SOURCES = Path.of("src/test/resources/sessions");

	private static EntryFixture fixture;

	@BeforeAll
	static void start() throws Exception {
		fixture = new EntryFixture().engine("e1", 0, 8).service("s1").start();
	}

	@AfterAll
	static void stop() {
		fixture.close();
	}

	@ParameterizedTest
	@ValueSource(strings = { "chat-whole", "chat-streamed", "chat-malformed", "chat-unknown-route", "chat-not-allowed",
			"key-unknown", "key-missing", "body-too-large", "body-chunked", "service-lookup", "service-keyed-call",
			"service-key-reused", "service-answer-lost", "service-unknown-route" })
	void responseIsAsRecorded(String name) throws IOException {
		String file = read(name);
		int separator = file.indexOf(SEPARATOR);
		String request = (separator >= 0) ? file.substring(0, separator) : file;
		if (name.equals("service-answer-lost")) {
			fixture.services.forEach((service) -> service.loseResponses(1));
		}
		String actual = normalised(exchange(request));
		fixture.services.forEach(SessionTests::reset);
		if ("write".equals(System.getProperty("medlardrum.sessions"))) {
			Files.writeString(SOURCES.resolve(name + ".txt"), request + SEPARATOR + actual);
			return;
		}
		assertThat(actual).isEqualTo(file.substring(separator + SEPARATOR.length()));
	}

	private static void reset(ServiceStandIn service) {
		service.loseResponses(0);
	}

	private static String exchange(String request) throws IOException {
		try (RawClient client = new RawClient(fixture.host.callerPort())) {
			client.send(request.replace("\n", "\r\n"));
			return client.readToEnd();
		}
	}

	// The service stand-in writes the JSON members of its response in no fixed order.
	private static String sortedMembers(String response) {
		int body = response.lastIndexOf('\n') + 1;
		if (!response.startsWith("{\"", body) || !response.contains("\"execution\":")) {
			return response;
		}
		return response.substring(0, body)
				+ new TreeMap<>(JsonParser.parseString(response.substring(body)).getAsJsonObject().asMap());
	}

	private static String normalised(String response) {
		return sortedMembers(response.replace("\r\n", "\n")).replaceAll("entry-1-[0-9a-z]+-[0-9a-z]+", "<request id>")
			.replaceAll("\"created\":[0-9]+", "\"created\":0")
			.replaceAll("(?i)content-length: [0-9]+", "content-length: <length>")
			.replaceAll("(?m)^[0-9a-f]+$\n", "<chunk size>\n")
			.replaceAll("the answer was lost: [^\"]*", "the answer was lost: <reason>");
	}

	private static String read(String name) throws IOException {
		try (InputStream in = SessionTests.class.getResourceAsStream("/sessions/" + name + ".txt")) {
			return new String(in.readAllBytes(), StandardCharsets.UTF_8);
		}
	}

}
