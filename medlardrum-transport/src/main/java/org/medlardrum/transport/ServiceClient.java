package org.medlardrum.transport;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.servicetalk.http.api.BlockingStreamingHttpResponse;
import org.medlardrum.state.Outcome;
import org.medlardrum.transport.internal.HttpClientPool;
import org.medlardrum.transport.internal.HttpExchange;

/**
 * Client of plain services. Safe for use by several threads; calls block. No call is
 * retried. Each call has its own connection: on a reused one, a late or additional
 * response would be taken for the response to another call.
 */
public final class ServiceClient implements AutoCloseable {

	private final HttpClientPool clients;

	private final int maxResponseBytes;

	/**
	 * Creates a client.
	 * @param connectTimeoutMs longest time to set up a connection
	 * @param maxResponseBytes largest response body
	 */
	public ServiceClient(int connectTimeoutMs, int maxResponseBytes) {
		this.clients = new HttpClientPool(connectTimeoutMs);
		this.maxResponseBytes = maxResponseBytes;
	}

	/**
	 * Calls a service and waits for the complete response.
	 * @param address {@code ip:port} of the server
	 * @param request the call
	 * @param timeoutMs longest duration of the call
	 * @return the response with any status, or {@code NotRun} if the server could not be
	 * reached or responded with 503 and {@code Medlardrum-Not-Run: true}
	 */
	public Outcome<ServiceResponse> call(String address, ServiceRequest request, long timeoutMs) {
		long startNs = System.nanoTime();
		BlockingStreamingHttpResponse response = null;
		List<String> requestHeaders = new ArrayList<>(request.headers());
		requestHeaders.addAll(List.of("Connection", "close"));
		try {
			response = HttpExchange.send(this.clients.client(address), request.method(), request.target(),
					requestHeaders, request.body(), timeoutMs);
			long elapsedMs = (System.nanoTime() - startNs) / 1_000_000;
			byte[] body = HttpExchange.readBody(response, this.maxResponseBytes, Math.max(1, timeoutMs - elapsedMs));
			int status = response.status().code();
			if (NotRunHeader.isSet(response)) {
				return NotRunHeader.outcome(response, "HTTP status " + status);
			}
			return new Outcome.Completed<>(new ServiceResponse(status, headers(response), body));
		}
		catch (Exception ex) {
			return (response != null && NotRunHeader.isSet(response)) ? NotRunHeader.outcome(response, "not run")
					: EngineClient.failed(ex);
		}
	}

	/**
	 * Closes the connections to all servers except the given ones.
	 * @param addresses addresses that are still in use
	 */
	public void retain(Set<String> addresses) {
		this.clients.retain(addresses);
	}

	@Override
	public void close() {
		this.clients.close();
	}

	private static List<String> headers(BlockingStreamingHttpResponse response) {
		List<String> headers = new ArrayList<>();
		for (Map.Entry<CharSequence, CharSequence> header : response.headers()) {
			headers.add(header.getKey().toString());
			headers.add(header.getValue().toString());
		}
		return headers;
	}

}
