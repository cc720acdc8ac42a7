package org.medlardrum.standins.internal.service;

/**
 * Number of times that a plain service executed a call. Calls are the same if their key,
 * method, path and body are equal.
 *
 * @param key value of the {@code Idempotency-Key} header, empty if it is missing
 * @param method HTTP method
 * @param path request path
 * @param body request body
 * @param count number of executions
 */
public record ExecutionCount(String key, String method, String path, String body, int count) {
}
