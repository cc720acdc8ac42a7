package org.medlardrum.transport;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;

import com.google.gson.Gson;
import io.servicetalk.http.api.BlockingStreamingHttpClient;
import io.servicetalk.http.api.BlockingStreamingHttpResponse;
import org.medlardrum.coordination.orders.OrderResult;
import org.medlardrum.protocol.engine.CancelRequest;
import org.medlardrum.protocol.engine.EngineFrame;
import org.medlardrum.protocol.engine.EngineOrder;
import org.medlardrum.protocol.engine.GenerateRequest;
import org.medlardrum.state.EngineReport;
import org.medlardrum.state.Outcome;
import org.medlardrum.transport.internal.Failures;
import org.medlardrum.transport.internal.HttpClientPool;
import org.medlardrum.transport.internal.HttpExchange;
import org.medlardrum.transport.internal.UnusableAddressException;

/**
 * Client of the model engines. Safe for use by several threads; calls block. No call is
 * retried. Each call has its own connection: on a reused one, a late or additional
 * response would be taken for the response to another request.
 *
 * <pre>
 * Outcome&lt;EngineStream&gt; outcome = client.generate("127.0.0.1:7100", request, 2000);
 * if (outcome instanceof Outcome.Completed&lt;EngineStream&gt; started) {
 *     try (EngineStream stream = started.value()) {
 *         StreamEvent event = stream.next(500);
 *     }
 * }
 * </pre>
 */
public final class EngineClient implements AutoCloseable {

	private static final int MAX_RESPONSE_BYTES = 1024 * 1024;

	private static final int ACCEPTED = 202;

	private static final int CONFLICT = 409;

	private static final List<String> JSON = List.of("Content-Type", "application/json");

	private static final List<String> JSON_ONCE = List.of("Content-Type", "application/json", "Connection", "close");

	private static final byte[] EMPTY = new byte[0];

	private static final Gson GSON = new Gson();

	private final HttpClientPool clients;

	/**
	 * Creates a client.
	 * @param connectTimeoutMs longest time to set up a connection
	 */
	public EngineClient(int connectTimeoutMs) {
		this.clients = new HttpClientPool(connectTimeoutMs);
	}

	/**
	 * Starts a generation and waits for its first frame.
	 * @param address {@code ip:port} of the chain's first engine
	 * @param request the request
	 * @param firstFrameTimeoutMs longest time until the response header, and again until
	 * the first frame
	 * @return the stream with its first frame, or {@code NotRun} if the engine could not
	 * be reached, responded with 503 and {@code Medlardrum-Not-Run}, or sent an error
	 * with {@code ran=no} before any token
	 */
	public Outcome<EngineStream> generate(String address, GenerateRequest request, long firstFrameTimeoutMs) {
		// With "Connection: close" the client would end its sending side, which engines
		// take for a cancellation.
		BlockingStreamingHttpClient client;
		try {
			client = this.clients.createSingle(address);
		}
		catch (UnusableAddressException ex) {
			return failed(ex);
		}
		Runnable closeAction = () -> client.asStreamingClient().closeAsync().subscribe();
		EngineStream stream;
		try {
			BlockingStreamingHttpResponse response = HttpExchange.send(client, "POST", "/v1/generate", JSON,
					GSON.toJson(request).getBytes(StandardCharsets.UTF_8), firstFrameTimeoutMs);
			if (response.status().code() != NotRunHeader.OK) {
				Outcome<EngineStream> outcome = refused(response, firstFrameTimeoutMs);
				closeAction.run();
				return outcome;
			}
			stream = new EngineStream(response, closeAction);
		}
		catch (Exception ex) {
			closeAction.run();
			return failed(ex);
		}
		return firstFrame(stream, request, firstFrameTimeoutMs);
	}

	/**
	 * Cancels a generation on one engine. A lost call is not retried, because the engine
	 * also cancels when its connection closes.
	 * @param address {@code ip:port} of the engine
	 * @param request identifier of the request
	 * @param attempt number of the attempt
	 * @param timeoutMs longest time until the response header, and again until the end of
	 * the body
	 * @return whether the engine responded with status 200
	 */
	public boolean cancel(String address, String request, int attempt, long timeoutMs) {
		byte[] body = GSON.toJson(new CancelRequest(request, attempt)).getBytes(StandardCharsets.UTF_8);
		return call(address, "POST", "/v1/cancel", body, timeoutMs) instanceof Outcome.Completed<String>;
	}

	/**
	 * Fetches the load report of an engine.
	 * @param address {@code ip:port} of the engine
	 * @param timeoutMs longest time until the response header, and again until the end of
	 * the body
	 * @return the report
	 */
	public Outcome<EngineReport> fetchReport(String address, long timeoutMs) {
		return switch (call(address, "GET", "/v1/load", EMPTY, timeoutMs)) {
			case Outcome.NotRun<String> notRun -> new Outcome.NotRun<>(notRun.reason(), notRun.retryAfterMs());
			case Outcome.MayHaveRun<String> mayHaveRun -> new Outcome.MayHaveRun<>(mayHaveRun.reason());
			case Outcome.Completed<String> completed -> report(completed.value());
		};
	}

	/**
	 * Sends an order to an engine.
	 * @param address {@code ip:port} of the engine
	 * @param order the order
	 * @param timeoutMs longest time until the response header, and again until the end of
	 * the body
	 * @return the result
	 */
	public OrderResult sendOrder(String address, EngineOrder order, long timeoutMs) {
		byte[] body = GSON.toJson(order).getBytes(StandardCharsets.UTF_8);
		try {
			BlockingStreamingHttpResponse response = HttpExchange.send(this.clients.client(address), "POST",
					"/v1/orders", JSON_ONCE, body, timeoutMs);
			int status = response.status().code();
			HttpExchange.readBody(response, MAX_RESPONSE_BYTES, timeoutMs);
			return switch (status) {
				case NotRunHeader.OK, ACCEPTED -> new OrderResult.Accepted();
				case CONFLICT -> new OrderResult.Fenced(0);
				default -> new OrderResult.Refused("HTTP status " + status);
			};
		}
		catch (Exception ex) {
			return switch (EngineClient.<String>failed(ex)) {
				case Outcome.NotRun<String> notRun -> new OrderResult.NotSent(notRun.reason());
				case Outcome.MayHaveRun<String> mayHaveRun -> new OrderResult.Unknown(mayHaveRun.reason());
				case Outcome.Completed<String> none -> new OrderResult.Unknown("no response");
			};
		}
	}

	/**
	 * Closes the connections to all engines except the given ones.
	 * @param addresses addresses that are still in use
	 */
	public void retain(Set<String> addresses) {
		this.clients.retain(addresses);
	}

	@Override
	public void close() {
		this.clients.close();
	}

	private static Outcome<EngineReport> report(String body) {
		try {
			EngineReport report = GSON.fromJson(body, EngineReport.class);
			if (report != null && report.server() != null) {
				return new Outcome.Completed<>(report);
			}
		}
		catch (RuntimeException ex) {
			return new Outcome.MayHaveRun<>("invalid report: " + Failures.describe(ex));
		}
		return new Outcome.MayHaveRun<>("invalid report");
	}

	private Outcome<String> call(String address, String method, String target, byte[] body, long timeoutMs) {
		try {
			BlockingStreamingHttpResponse response = HttpExchange.send(this.clients.client(address), method, target,
					JSON_ONCE, body, timeoutMs);
			byte[] bytes = HttpExchange.readBody(response, MAX_RESPONSE_BYTES, timeoutMs);
			int status = response.status().code();
			return (status == NotRunHeader.OK) ? new Outcome.Completed<>(new String(bytes, StandardCharsets.UTF_8))
					: new Outcome.MayHaveRun<>("HTTP status " + status);
		}
		catch (Exception ex) {
			return failed(ex);
		}
	}

	private static Outcome<EngineStream> refused(BlockingStreamingHttpResponse response, long timeoutMs) {
		int status = response.status().code();
		try {
			HttpExchange.readBody(response, MAX_RESPONSE_BYTES, timeoutMs);
		}
		catch (Exception ex) {
			return NotRunHeader.outcome(response, "HTTP status " + status + ", " + Failures.describe(ex));
		}
		return NotRunHeader.outcome(response, "HTTP status " + status);
	}

	private static Outcome<EngineStream> firstFrame(EngineStream stream, GenerateRequest request, long timeoutMs) {
		StreamEvent event = stream.next(timeoutMs);
		if (event instanceof StreamEvent.Frame frame) {
			boolean own = request.request().equals(frame.frame().request())
					&& request.attempt() == frame.frame().attempt();
			if (own && frame.frame() instanceof EngineFrame.Error error && "no".equals(error.ran())) {
				stream.close();
				return new Outcome.NotRun<>(error.code(), 0);
			}
			stream.pushBack(frame);
			return new Outcome.Completed<>(stream);
		}
		stream.close();
		return new Outcome.MayHaveRun<>((event instanceof StreamEvent.Broken broken) ? broken.reason()
				: "no frame within " + timeoutMs + " ms");
	}

	static <T> Outcome<T> failed(Exception failure) {
		if (failure instanceof InterruptedException) {
			Thread.currentThread().interrupt();
			return new Outcome.MayHaveRun<>("interrupted");
		}
		String reason = Failures.describe(failure);
		return (Failures.isNotSent(failure)) ? new Outcome.NotRun<>(reason, 0) : new Outcome.MayHaveRun<>(reason);
	}

}
