package org.medlardrum.state.config;

/**
 * A warning about one merged configuration.
 *
 * @param path JSON pointer (RFC 6901) of the member
 * @param message what was found
 * @param needsAllSites {@code true} for an entry that is unused, which is worth reporting
 * only if no site uses it
 */
record ConfigWarning(String path, String message, boolean needsAllSites) {
}
