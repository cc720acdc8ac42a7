package org.medlardrum.state;

/**
 * One stage of a chain: an engine and the layers that it runs for a request.
 *
 * @param server identifier of the engine
 * @param address {@code ip:port} of the engine
 * @param fromLayer first layer to run, inclusive
 * @param toLayer last layer to run, exclusive
 */
public record Stage(String server, String address, int fromLayer, int toLayer) {
}
