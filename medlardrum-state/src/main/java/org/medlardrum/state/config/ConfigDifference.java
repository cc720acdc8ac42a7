package org.medlardrum.state.config;

/**
 * A difference between two merged configurations.
 *
 * @param path JSON pointer (RFC 6901) of the member
 * @param message old and new value and what the difference means for callers
 */
record ConfigDifference(String path, String message) {
}
