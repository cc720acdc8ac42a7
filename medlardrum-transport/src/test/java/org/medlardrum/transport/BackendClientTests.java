package org.medlardrum.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.coordination.orders.OrderResult;
import org.medlardrum.protocol.engine.EngineOrder;
import org.medlardrum.protocol.engine.GenerateRequest;
import org.medlardrum.state.Outcome;
import org.medlardrum.state.Rank;
import org.medlardrum.state.Stage;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against reporting a call that may have run as not run, against retries by
 * ServiceTalk, and against the reuse of a connection with an unread response.
 */
class BackendClientTests {

	private static final int CONNECT_TIMEOUT_MS = 1000;

	private static final int MAX_RESPONSE_BYTES = 1000;

	private static final ServiceRequest BOOKING = new ServiceRequest("POST", "/bookings", List.of(),
			"{}".getBytes(StandardCharsets.UTF_8));

	private static final GenerateRequest GENERATE = new GenerateRequest("r", 1, "m", "", "", "p", List.of(), 4,
			Rank.URGENT, 1000, 4, List.of(new Stage("e", "127.0.0.1:1", 0, 4)));

	private static final String TOKEN = "{\"type\":\"token\",\"request\":\"r\",\"attempt\":1,\"position\":0,\"text\":\"a\"}\n";

	private static final String ERROR = "{\"type\":\"error\",\"request\":\"r\",\"attempt\":1,\"ran\":\"%s\",\"code\":\"leaving\"}\n";

	@ParameterizedTest
	@CsvSource({ "200, '', Completed", "404, '', Completed", "500, '', Completed", "503, '', Completed",
			"503, 'Medlardrum-Not-Run: true', NotRun", "500, 'Medlardrum-Not-Run: true', Completed",
			"503, 'Medlardrum-Not-Run: false', Completed" })
	void classifiesResponsesOfServices(int status, String header, String expected) throws IOException {
		String headers = (header.isEmpty()) ? "" : header + "\r\n";
		try (ScriptedServer server = new ScriptedServer((n) -> ScriptedServer.response(status, headers, "{}"));
				ServiceClient client = new ServiceClient(CONNECT_TIMEOUT_MS, MAX_RESPONSE_BYTES)) {
			Outcome<ServiceResponse> outcome = client.call(server.address(), BOOKING, 5000);
			assertThat(outcome.getClass().getSimpleName()).isEqualTo(expected);
		}
	}

	@ParameterizedTest
	@CsvSource({ "''", "HTTP/1.1 200 X", "'HTTP/1.1 200 X\r\nContent-Length: 10\r\nX-Close: 1\r\n\r\nabc'",
			"'HTTP/1.1 200 X\r\nContent-Length: 2000\r\nX-Hold: 1\r\n\r\n'" })
	void brokenResponseMayHaveRunAndIsNotRetried(String response) throws IOException {
		try (ScriptedServer server = new ScriptedServer((n) -> response);
				ServiceClient client = new ServiceClient(CONNECT_TIMEOUT_MS, MAX_RESPONSE_BYTES)) {
			Outcome<ServiceResponse> outcome = client.call(server.address(), BOOKING, 500);
			assertThat(outcome).isInstanceOf(Outcome.MayHaveRun.class);
			assertThat(server.requests()).isEqualTo(1);
		}
	}

	/** The server stops within the head of its response and closes the connection. */
	@ParameterizedTest
	@ValueSource(strings = { "Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", "" })
	void headThatEndsEarlyIsNoResponse(String framing) throws IOException {
		String head = "HTTP/1.1 200 X\r\nX-Close: 1\r\n" + framing + "\r\n";
		for (int length = head.indexOf(framing); length < head.length(); length++) {
			String sent = head.substring(0, length);
			try (ScriptedServer server = new ScriptedServer((n) -> sent);
					ServiceClient client = new ServiceClient(CONNECT_TIMEOUT_MS, MAX_RESPONSE_BYTES)) {
				assertThat(client.call(server.address(), BOOKING, 5000)).isInstanceOf(Outcome.MayHaveRun.class);
			}
		}
	}

	/** Guards against passing on a status that is not one of a final response. */
	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "101", "600", "999" })
	void responseWithAnInvalidStatusMayHaveRun(String status) throws IOException {
		String response = "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\n{}";
		try (ScriptedServer server = new ScriptedServer((n) -> response);
				ServiceClient services = new ServiceClient(CONNECT_TIMEOUT_MS, MAX_RESPONSE_BYTES);
				EngineClient engines = new EngineClient(CONNECT_TIMEOUT_MS)) {
			assertThat(services.call(server.address(), BOOKING, 5000)).isInstanceOf(Outcome.MayHaveRun.class);
			assertThat(engines.sendOrder(server.address(), new EngineOrder(1, "o", "m", "", List.of(), ""), 5000))
				.isInstanceOf(OrderResult.Unknown.class);
			assertThat(server.requests()).isEqualTo(2);
		}
	}

	@Test
	void everyRefusedConnectionIsReportedAsNotRun() throws IOException {
		int freePort;
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			freePort = socket.getLocalPort();
		}
		try (ServiceClient client = new ServiceClient(CONNECT_TIMEOUT_MS, MAX_RESPONSE_BYTES)) {
			for (int i = 0; i < 10; i++) {
				assertThat(client.call("127.0.0.1:" + freePort, BOOKING, 5000)).isInstanceOf(Outcome.NotRun.class);
			}
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "127.0.0.1:99999", "", "127.0.0.1", "localhost:80", "127.0.0.1:-1" })
	void callToAnUnusableAddressIsReportedAsNotRun(String address) {
		try (ServiceClient services = new ServiceClient(CONNECT_TIMEOUT_MS, MAX_RESPONSE_BYTES);
				EngineClient engines = new EngineClient(CONNECT_TIMEOUT_MS)) {
			assertThat(services.call(address, BOOKING, 5000)).isInstanceOf(Outcome.NotRun.class);
			assertThat(engines.generate(address, GENERATE, 5000)).isInstanceOf(Outcome.NotRun.class);
			assertThat(engines.sendOrder(address, new EngineOrder(1, "o", "m", "", List.of(), ""), 5000))
				.isInstanceOf(OrderResult.NotSent.class);
		}
	}

	@Test
	void connectionWithAnUnreadResponseIsNotReused() throws IOException {
		String oversized = "HTTP/1.1 200 X\r\nContent-Length: 9000\r\nX-Hold: 1\r\n\r\n" + "x".repeat(5000);
		try (ScriptedServer server = new ScriptedServer(
				(n) -> (n == 0) ? oversized : ScriptedServer.response(200, "", "second"));
				ServiceClient client = new ServiceClient(CONNECT_TIMEOUT_MS, MAX_RESPONSE_BYTES)) {
			assertThat(client.call(server.address(), BOOKING, 5000)).isInstanceOf(Outcome.MayHaveRun.class);
			Outcome<ServiceResponse> second = client.call(server.address(), BOOKING, 5000);
			assertThat(second).isInstanceOf(Outcome.Completed.class);
			assertThat(new String(((Outcome.Completed<ServiceResponse>) second).value().body(), StandardCharsets.UTF_8))
				.isEqualTo("second");
			assertThat(server.connections()).isEqualTo(2);
		}
	}

	@ParameterizedTest
	@CsvSource({ "token, Completed", "refused, NotRun", "failed, Completed", "garbage, MayHaveRun",
			"empty, MayHaveRun" })
	void classifiesTheFirstFrameOfAnEngine(String first, String expected) throws IOException {
		String line = switch (first) {
			case "token" -> TOKEN;
			case "refused" -> String.format(ERROR, "no");
			case "failed" -> String.format(ERROR, "unknown");
			case "garbage" -> "{\"type\":\"tok\n";
			default -> "";
		};
		try (ScriptedServer server = new ScriptedServer((n) -> ScriptedServer.response(200, "", line));
				EngineClient client = new EngineClient(CONNECT_TIMEOUT_MS)) {
			Outcome<EngineStream> outcome = client.generate(server.address(), GENERATE, 5000);
			assertThat(outcome.getClass().getSimpleName()).isEqualTo(expected);
		}
	}

	@Test
	void framesFollowAndAnEarlyCloseEndsTheConnection() throws IOException {
		String head = "HTTP/1.1 200 X\r\nContent-Length: 2000\r\nX-Hold: 1\r\n\r\n";
		try (ScriptedServer server = new ScriptedServer((n) -> head + TOKEN);
				EngineClient client = new EngineClient(CONNECT_TIMEOUT_MS)) {
			for (int i = 0; i < 3; i++) {
				EngineStream stream = ((Outcome.Completed<EngineStream>) client.generate(server.address(), GENERATE,
						5000))
					.value();
				assertThat(stream.next(5000)).isInstanceOf(StreamEvent.Frame.class);
				assertThat(stream.next(50)).isInstanceOf(StreamEvent.TimedOut.class);
				stream.close();
			}
			assertThat(server.connections()).isEqualTo(3);
		}
	}

}
