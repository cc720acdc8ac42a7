package org.medlardrum.standins.internal.engine;

/**
 * One execution of a layer range for one token.
 *
 * @param request identifier of the request
 * @param attempt number of the attempt
 * @param position position of the token
 * @param fromLayer first layer, inclusive
 * @param toLayer last layer, exclusive
 */
public record LedgerEntry(String request, int attempt, int position, int fromLayer, int toLayer) {
}
