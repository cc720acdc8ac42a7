package org.medlardrum.cli.internal;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.medlardrum.state.Outcome;
import org.medlardrum.transport.ServiceClient;
import org.medlardrum.transport.ServiceRequest;
import org.medlardrum.transport.ServiceResponse;

/**
 * Calls entry hosts over HTTP/1.1.
 */
final class HttpAdminClient implements AdminClient, AutoCloseable {

	private static final int CONNECT_TIMEOUT_MS = 1_000;

	/** The metrics of a host with 410 organisations are smaller than 1 MB. */
	private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

	private final ServiceClient client = new ServiceClient(CONNECT_TIMEOUT_MS, MAX_RESPONSE_BYTES);

	@Override
	public AdminResponse call(String address, String method, String target, long timeoutMs) {
		ServiceRequest request = new ServiceRequest(method, target, List.of("accept", "*/*"), new byte[0]);
		return switch (this.client.call(address, request, timeoutMs)) {
			case Outcome.Completed<ServiceResponse> completed -> new AdminResponse(completed.value().status(),
					new String(completed.value().body(), StandardCharsets.UTF_8), "");
			case Outcome.NotRun<ServiceResponse> notRun -> AdminResponse.unreachable(notRun.reason());
			case Outcome.MayHaveRun<ServiceResponse> lost -> AdminResponse.unreachable(lost.reason());
		};
	}

	@Override
	public void close() {
		this.client.close();
	}

}
