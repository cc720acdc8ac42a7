package org.medlardrum.gateway;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against the text of an error in the middle of a stream, and against a stream
 * that ends as complete although its next engine has not continued it.
 */
class ErrorTextInStreamTests {

	private static final String STREAM = "content-type: text/event-stream\r\n";

	private static final String PROOF = "id: r1\r\nproof: p\r\n";

	private static final String BEGUN = event(1) + event(2);

	private GatewayFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new GatewayFixture().configured();
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private static String event(int id) {
		return "id: " + id + "\ndata: e" + id + "\n\n";
	}

	private static FakeBackend.Script chunked(String status, String headers, String body, String end) {
		return (head, socket, out) -> FakeBackend.write(out, "HTTP/1.1 " + status + "\r\n" + PROOF + headers
				+ "transfer-encoding: chunked\r\n\r\n" + ((body.isEmpty()) ? "" : FakeBackend.chunk(body)) + end);
	}

	private static FakeBackend.Script stream(String body) {
		return chunked("200 x", STREAM, body, "0\r\n\r\n");
	}

	// Calls an engine that sends the given text and breaks, and then the next one.
	private Received continueAt(String firstText, FakeBackend.Script next) throws Exception {
		CountDownLatch nextRegistered = new CountDownLatch(1);
		try (FakeBackend second = new FakeBackend(next); FakeBackend first = new FakeBackend((head, socket, out) -> {
			chunked("200 x", STREAM, firstText, "").handle(head, socket, out);
			nextRegistered.await(5, TimeUnit.SECONDS);
			FakeBackend.write(out, "8\r\nid: 9\nda");
		})) {
			return callFirstAndLater(first, second, nextRegistered);
		}
	}

	private Received callFirstAndLater(FakeBackend first, FakeBackend second, CountDownLatch secondRegistered)
			throws Exception {
		this.fixture.register("pool", "e1", first);
		Thread.ofVirtual().start(() -> {
			while (first.requests().isEmpty()) {
				Thread.onSpinWait();
			}
			this.fixture.register("pool", "e2", second);
			secondRegistered.countDown();
		});
		Received received = Received.of(this.fixture.call("POST", "/stream/1"));
		assertThat(second.requests()).hasSize(1);
		return received;
	}

	private Received callOnly(FakeBackend.Script engine) throws Exception {
		try (FakeBackend only = new FakeBackend(engine)) {
			this.fixture.register("pool", "e1", only);
			return Received.of(this.fixture.call("POST", "/stream/1"));
		}
	}

	@ParameterizedTest
	@ValueSource(
			strings = { "bad thing\n\n", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 9\r\n\r\nbad thing",
					"HTTP/1.1 503 x\r\n\r\n", "Content-Length: 9\r\n\r\n", "content-length: 9\r\n\r\n",
					"content-length: 9\nretry: 5\n\n", "id: 3\ndata: eHTTP/1.1 503 x\r\ncontent-length: 4\r\n\r\nfull",
					"id: 3\nbad thing\n\n", "{\"error\": \"bad thing\"}\n\n", "<html>\n\n" })
	void blockThatIsNoEventIsNotPassedOn(String text) throws Exception {
		Received continued = continueAt(BEGUN, stream(text));
		assertThat(continued.body()).isEqualTo(BEGUN);
		assertThat(continued.complete()).isFalse();
	}

	@ParameterizedTest
	@ValueSource(strings = { "bad thing\n\n", "HTTP/1.1 500 x\r\nContent-Length: 9\r\n\r\nbad thing",
			"content-length: 9\r\n\r\n", "{\"error\": \"bad thing\"}\n\n" })
	void errorTextBehindEventsOfTheFirstEngineIsReplacedByTheNextOne(String text) throws Exception {
		Received received = continueAt(BEGUN + text, stream(event(3)));
		assertThat(received.body()).isEqualTo(BEGUN + event(3));
		assertThat(received.complete()).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "bad thing\n\n", "HTTP/1.1 500 x\r\nContent-Length: 9\r\n\r\nbad thing",
			"content-length: 9\r\n\r\n" })
	void streamThatBeginsWithErrorTextIsAFailure(String text) throws Exception {
		Received received = callOnly(stream(text));
		assertThat(received.head()).startsWith("HTTP/1.1 502");
		assertThat(received.head() + received.body()).doesNotContain(text.strip());
	}

	@ParameterizedTest
	@ValueSource(strings = { "weight-versions: 3\nid: 3\ndata: e3\n\n", ": comment\nid: 3\nevent: x\nretry: 5\n\n",
			"id:3\r\ndata:e3\r\n\r\n", "data: a: b\ndata:\ndata\nid: 3\n\n" })
	void everyFormOfAnEventIsPassedOn(String text) throws Exception {
		Received received = continueAt(BEGUN, stream(text));
		assertThat(received.body()).isEqualTo(BEGUN + text);
		assertThat(received.complete()).isTrue();
	}

	@ParameterizedTest
	@CsvSource({ "204 x, ''", "200 x, ''", "200 x, content-type: text/plain", "200 x, content-type: application/json",
			"200 x, content-type: text/event-streams", "206 x, content-type: text/event-stream",
			"202 x, content-type: text/event-stream" })
	void successThatIsNoStreamDoesNotContinueOne(String status, String contentType) throws Exception {
		String header = (contentType.isEmpty()) ? "" : contentType + "\r\n";
		FakeBackend.Script next = (status.startsWith("204"))
				? (head, socket, out) -> FakeBackend.write(out, "HTTP/1.1 204 x\r\n" + PROOF + "\r\n")
				: chunked(status, header, event(3), "0\r\n\r\n");
		Received received = continueAt(BEGUN, next);
		assertThat(received.body()).isEqualTo(BEGUN);
		assertThat(received.complete()).isFalse();
	}

	@ParameterizedTest
	@ValueSource(strings = { "Text/Event-Stream", "text/event-stream; charset=utf-8", "text/event-stream ;x=y" })
	void everyFormOfTheContentTypeContinuesAStream(String contentType) throws Exception {
		Received received = continueAt(BEGUN,
				chunked("200 x", "content-type: " + contentType + "\r\n", event(3), "0\r\n\r\n"));
		assertThat(received.body()).isEqualTo(BEGUN + event(3));
		assertThat(received.complete()).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "bad thing\n\n", "id: 1\ndata: e1\n\n" })
	void firstResponseThatIsNoStreamIsPassedOnWhole(String text) throws Exception {
		Received received = callOnly(chunked("200 x", "content-type: text/plain\r\n", text, "0\r\n\r\n"));
		assertThat(received.head()).startsWith("HTTP/1.1 200");
		assertThat(received.head()).contains("proof: p");
		assertThat(received.head()).contains("content-length: " + text.length());
		assertThat(received.body()).isEqualTo(text);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "bad thing\n\n", "id: 1\ndata: e1\n\n" })
	void firstResponseThatIsNoStreamAndBreaksIsAFailure(String text) throws Exception {
		Received received = callOnly(chunked("200 x", "content-type: text/plain\r\n", text, ""));
		assertThat(received.head()).startsWith("HTTP/1.1 502");
	}

	@ParameterizedTest
	@ValueSource(strings = { "content-length: 0\r\n\r\n", "transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
			"transfer-encoding: chunked\r\n\r\n9\r\n: nothing\r\n0\r\n\r\n",
			"transfer-encoding: chunked\r\n\r\nb\r\n: nothing\n\n\r\n0\r\n\r\n", "\r\n" })
	void continuationWithoutAnEventDoesNotCompleteAStream(String rest) throws Exception {
		Received received = continueAt(BEGUN, (head, socket, out) -> FakeBackend.write(out,
				"HTTP/1.1 200 x\r\nconnection: close\r\n" + PROOF + STREAM + rest));
		assertThat(received.body()).isEqualTo(BEGUN);
		assertThat(received.complete()).isFalse();
	}

	@ParameterizedTest
	@CsvSource({ "false, false", "true, false", "false, true", "true, true" })
	void secondChainWithoutAnEventDoesNotCompleteTheStreamOfASlowOne(boolean begun, boolean comment) throws Exception {
		String firstText = (begun) ? event(1) : "";
		String secondText = (comment) ? ": comment\n\n" : "";
		CountDownLatch registered = new CountDownLatch(1);
		try (FakeBackend second = new FakeBackend(stream(secondText));
				FakeBackend first = new FakeBackend((head, socket, out) -> {
					if (head.startsWith("get /report")) {
						FakeBackend.response(200, "", "").handle(head, socket, out);
						return;
					}
					chunked("200 x", STREAM, firstText, "").handle(head, socket, out);
					registered.await(5, TimeUnit.SECONDS);
					for (int i = 0; i < 500 && second.requests().isEmpty(); i++) {
						Thread.sleep(1);
					}
					Thread.sleep(50);
					FakeBackend.write(out, FakeBackend.chunk(event(2)) + "0\r\n\r\n");
				})) {
			Received received = callFirstAndLater(first, second, registered);
			assertThat(received.body()).isEqualTo(firstText + event(2));
			assertThat(received.complete()).isTrue();
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "data: bad thing\n\n", "id: none\ndata: bad thing\n\n", "event: error\n\n",
			"id: 4\ndata: e4\n\n" })
	void eventThatDoesNotFollowIsNotPassedOn(String text) throws Exception {
		Received received = continueAt(BEGUN, stream(text));
		assertThat(received.body()).isEqualTo(BEGUN);
		assertThat(received.complete()).isFalse();
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 5 })
	void eventBehindAGapOrTheSameOneAgainIsNotPassedOn(int next) throws Exception {
		Received received = continueAt(BEGUN, stream(event(3) + event(next)));
		assertThat(received.body()).isEqualTo(BEGUN + event(3));
		assertThat(received.complete()).isFalse();
	}

	@ParameterizedTest
	@ValueSource(strings = { "id: 30\ndata: e30\n\n", "id: 21\ndata: e21\n\nid: 40\ndata: e40\n\n",
			": comment\n\nid: 30\ndata: e30\n\n" })
	void identifiersThatAreNotConsecutiveAreNoFault(String text) throws Exception {
		String begun = event(10) + event(20);
		Received received = continueAt(begun, stream(text));
		assertThat(received.body()).isEqualTo(begun + text.replace(": comment\n\n", ""));
		assertThat(received.complete()).isTrue();
	}

	/** The pages name the type of a stream, but show a response without one. */
	@Test
	void streamWithoutContentTypeIsContinuedByAnother() throws Exception {
		CountDownLatch end = new CountDownLatch(1);
		try (FakeBackend second = new FakeBackend(chunked("200 x", "", event(3), "0\r\n\r\n"));
				FakeBackend first = new FakeBackend((head, socket, out) -> {
					chunked("200 x", "", BEGUN, "").handle(head, socket, out);
					end.await(5, TimeUnit.SECONDS);
				})) {
			Received received = callFirstAndLater(first, second, end);
			assertThat(received.body()).isEqualTo(BEGUN + event(3));
			assertThat(received.complete()).isTrue();
		}
	}

	/**
	 * A response as a caller received it.
	 *
	 * @param head the status line and headers
	 * @param body the body without its encoding in chunks
	 * @param complete whether the body has its end
	 */
	private record Received(String head, String body, boolean complete) {

		static Received of(String response) {
			int headEnd = response.indexOf("\r\n\r\n") + 4;
			String head = response.substring(0, headEnd);
			if (!head.contains("chunked")) {
				return new Received(head, response.substring(headEnd), true);
			}
			StringBuilder body = new StringBuilder();
			int at = headEnd;
			while (at < response.length()) {
				int lineEnd = response.indexOf("\r\n", at);
				int size = Integer.parseInt(response.substring(at, lineEnd), 16);
				if (size == 0) {
					return new Received(head, body.toString(), true);
				}
				body.append(response, lineEnd + 2, lineEnd + 2 + size);
				at = lineEnd + 4 + size;
			}
			return new Received(head, body.toString(), false);
		}

	}

}
