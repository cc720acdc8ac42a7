package org.medlardrum.standins.internal.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.servicetalk.http.api.BlockingStreamingHttpClient;
import io.servicetalk.http.api.BlockingStreamingHttpRequest;
import io.servicetalk.http.api.BlockingStreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpResponse;
import org.medlardrum.standins.internal.http.JsonHttpClient;

/**
 * HTTP clients of the entry hosts, used round robin like the platform's load balancer
 * does. Thread-safe.
 */
final class Targets implements AutoCloseable {

	private final List<BlockingStreamingHttpClient> clients = new ArrayList<>();

	private final AtomicInteger nextIndex = new AtomicInteger();

	Targets(List<String> addresses) {
		if (addresses.isEmpty()) {
			throw new IllegalArgumentException("No target address given; at least one is required");
		}
		for (String address : addresses) {
			this.clients.add(JsonHttpClient.newClient(address).asBlockingStreamingClient());
		}
	}

	int nextTarget() {
		return Math.floorMod(this.nextIndex.getAndIncrement(), this.clients.size());
	}

	int nextAfter(int target) {
		return (target + 1) % this.clients.size();
	}

	BlockingStreamingHttpClient client(int target) {
		return this.clients.get(target);
	}

	BlockingStreamingHttpResponse send(int target, BlockingStreamingHttpRequest request, long deadlineNs)
			throws Exception {
		StreamingHttpClient client = this.clients.get(target).asStreamingClient();
		Future<StreamingHttpResponse> response = client.request(request.toStreamingRequest()).toFuture();
		try {
			return response.get(deadlineNs - System.nanoTime(), TimeUnit.NANOSECONDS).toBlockingStreamingResponse();
		}
		catch (Exception ex) {
			response.cancel(true);
			throw ex;
		}
	}

	@Override
	public void close() {
		for (BlockingStreamingHttpClient client : this.clients) {
			client.asClient().closeAsync().subscribe();
		}
	}

}
