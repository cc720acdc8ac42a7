package org.medlardrum.transport;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.medlardrum.coordination.orders.OrderResult;
import org.medlardrum.protocol.engine.EngineOrder;
import org.medlardrum.protocol.engine.GenerateRequest;
import org.medlardrum.state.Outcome;
import org.medlardrum.state.Rank;
import org.medlardrum.state.Stage;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an additional response of a server, written at once or late, that is
 * taken for the response to the next request.
 */
class StaleResponseTests {

	private static final int TIMEOUT_MS = 5_000;

	private static final String REFUSAL = ScriptedServer.response(503, "Medlardrum-Not-Run: true\r\n", "");

	private static final GenerateRequest GENERATE = new GenerateRequest("r", 1, "m", "", "", "p", List.of(), 4,
			Rank.URGENT, 1000, 4, List.of(new Stage("e", "127.0.0.1:1", 0, 4)));

	// The additional response precedes the response to the next request on the same
	// connection (late), or follows its own in the same write (at once).
	private static ScriptedServer server(boolean late, String additional, String response) throws IOException {
		ThreadLocal<Boolean> used = ThreadLocal.withInitial(() -> false);
		return new ScriptedServer((n) -> {
			boolean first = !used.get();
			used.set(true);
			if (late) {
				return (first) ? response : additional + response;
			}
			return response + additional;
		});
	}

	@ParameterizedTest
	@CsvSource({ "false, POST", "true, POST", "false, GET", "true, GET" })
	void callIsNotRefusedByAnEarlierRefusal(boolean late, String method) throws Exception {
		ServiceRequest call = new ServiceRequest(method, "/bookings", List.of(), "{}".getBytes(StandardCharsets.UTF_8));
		try (ScriptedServer server = server(late, REFUSAL, ScriptedServer.response(200, "", "made"));
				ServiceClient client = new ServiceClient(1000, 1000)) {
			for (int i = 0; i < 4; i++) {
				assertThat(client.call(server.address(), call, TIMEOUT_MS)).isInstanceOf(Outcome.Completed.class);
			}
			assertThat(server.requests()).isEqualTo(4);
		}
	}

	@ParameterizedTest
	@CsvSource({ "false", "true" })
	void callDoesNotReceiveAnEarlierAnswer(boolean late) throws Exception {
		ServiceRequest call = new ServiceRequest("GET", "/bookings", List.of(), new byte[0]);
		try (ScriptedServer server = server(late, ScriptedServer.response(200, "", "earlier"),
				ScriptedServer.response(200, "", "made")); ServiceClient client = new ServiceClient(1000, 1000)) {
			for (int i = 0; i < 4; i++) {
				Outcome<ServiceResponse> outcome = client.call(server.address(), call, TIMEOUT_MS);
				assertThat(outcome).isInstanceOf(Outcome.Completed.class);
				assertThat(new String(((Outcome.Completed<ServiceResponse>) outcome).value().body(),
						StandardCharsets.UTF_8))
					.isEqualTo("made");
			}
		}
	}

	@ParameterizedTest
	@CsvSource({ "false", "true" })
	void generationIsNotRefusedByAnEarlierRefusal(boolean late) throws Exception {
		String token = "{\"type\":\"token\",\"request\":\"r\",\"attempt\":1,\"position\":0,\"text\":\"a\"}\n";
		try (ScriptedServer server = server(late, REFUSAL, ScriptedServer.response(200, "", token));
				EngineClient client = new EngineClient(1000)) {
			for (int i = 0; i < 4; i++) {
				Outcome<EngineStream> outcome = client.generate(server.address(), GENERATE, TIMEOUT_MS);
				assertThat(outcome).isInstanceOf(Outcome.Completed.class);
				EngineStream stream = ((Outcome.Completed<EngineStream>) outcome).value();
				assertThat(stream.next(TIMEOUT_MS)).isInstanceOf(StreamEvent.Frame.class);
				stream.finish(TIMEOUT_MS);
				stream.close();
			}
		}
	}

	/** The validation of frames drops those of other requests and attempts. */
	@ParameterizedTest
	@CsvSource({ "r, 1, NotRun", "other, 1, Completed", "r, 2, Completed" })
	void refusalInAFrameNamesTheRequestAndItsAttempt(String request, int attempt, String expected) throws Exception {
		String frame = "{\"type\":\"error\",\"request\":\"" + request + "\",\"attempt\":" + attempt
				+ ",\"ran\":\"no\",\"code\":\"leaving\"}\n";
		try (ScriptedServer server = new ScriptedServer((n) -> ScriptedServer.response(200, "", frame));
				EngineClient client = new EngineClient(1000)) {
			Outcome<EngineStream> outcome = client.generate(server.address(), GENERATE, TIMEOUT_MS);
			assertThat(outcome.getClass().getSimpleName()).isEqualTo(expected);
		}
	}

	@ParameterizedTest
	@CsvSource({ "false", "true" })
	void orderIsNotAcceptedByAnEarlierAnswer(boolean late) throws Exception {
		try (ScriptedServer server = server(late, ScriptedServer.response(202, "", "{}"),
				ScriptedServer.response(409, "", "{}")); EngineClient client = new EngineClient(1000)) {
			EngineOrder order = new EngineOrder(1, "o", "m", "1", List.of(), "both");
			for (int i = 0; i < 4; i++) {
				assertThat(client.sendOrder(server.address(), order, TIMEOUT_MS))
					.isInstanceOf(OrderResult.Fenced.class);
			}
		}
	}

}
