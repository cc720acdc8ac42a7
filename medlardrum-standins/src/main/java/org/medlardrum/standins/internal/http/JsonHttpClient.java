package org.medlardrum.standins.internal.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.servicetalk.http.api.BlockingHttpClient;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.HostAndPort;

/**
 * HTTP client that reuses its connections and never retries a request. Thread-safe.
 */
public final class JsonHttpClient implements AutoCloseable {

	private final ConcurrentHashMap<String, BlockingHttpClient> clients = new ConcurrentHashMap<>();

	/**
	 * Sends a JSON request and waits for the complete response.
	 * @param address {@code ip:port} of the server
	 * @param path request target
	 * @param json request body
	 * @param timeoutMs timeout, in milliseconds
	 * @return the response
	 * @throws IOException if the request cannot be created
	 * @throws ExecutionException if the connection fails
	 * @throws TimeoutException if the response does not arrive in time
	 * @throws InterruptedException if the thread is interrupted; the request is cancelled
	 */
	public HttpResponse post(String address, String path, String json, long timeoutMs)
			throws IOException, ExecutionException, TimeoutException, InterruptedException {
		HttpClient client = client(address).asClient();
		HttpRequest request = client.post(path);
		request.setHeader("Content-Type", "application/json");
		// Encoding with String.getBytes and wrapping the result is several times cheaper
		// than letting the allocator encode the string.
		request.payloadBody(client.executionContext().bufferAllocator().wrap(json.getBytes(StandardCharsets.UTF_8)));
		Future<HttpResponse> response = client.request(request).toFuture();
		try {
			return response.get(timeoutMs, TimeUnit.MILLISECONDS);
		}
		finally {
			response.cancel(true);
		}
	}

	private BlockingHttpClient client(String address) {
		return this.clients.computeIfAbsent(address, JsonHttpClient::newClient);
	}

	/**
	 * Creates a client that does not retry requests.
	 * @param address {@code ip:port} of the server
	 * @return the client
	 */
	public static BlockingHttpClient newClient(String address) {
		return HttpClients.forResolvedAddress(HostAndPort.ofIpPort(address))
			// Callers block on their own virtual threads, so offloading to another
			// thread is not needed.
			.executionStrategy(HttpExecutionStrategies.offloadNone())
			.appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
			.buildBlocking();
	}

	@Override
	public void close() {
		for (BlockingHttpClient client : this.clients.values()) {
			client.asClient().closeAsync().subscribe();
		}
		this.clients.clear();
	}

}
