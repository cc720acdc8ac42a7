package org.medlardrum.gateway.internal.call;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * A request to a backend server.
 *
 * @param address {@code ip:port} of the server
 * @param method HTTP method
 * @param target path and query
 * @param waitsOneTurn tells, once the connection is ready, whether the event loop first
 * handles events that arrived in the meantime
 * @param headers supplies alternating names and values once the connection is ready,
 * right before the first byte is written; empty if the request must not be written
 * @param body the body, empty for none
 */
public record BackendRequest(String address, String method, String target, BooleanSupplier waitsOneTurn,
		Supplier<Optional<List<String>>> headers, byte[] body) {
}
