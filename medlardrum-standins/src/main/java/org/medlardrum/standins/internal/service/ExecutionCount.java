package org.medlardrum.standins.internal.service;

/**
 * Executions of equal calls of a plain service.
 *
 * @param key value of the {@code Idempotency-Key} header, empty if missing
 * @param method HTTP method
 * @param path request path
 * @param body request body
 * @param count number of executions
 */
public record ExecutionCount(String key, String method, String path, String body, int count) {
}
