package org.medlardrum.coordination.config;

/**
 * Newest readable version of the log in the store and the damage after it.
 *
 * @param version newest version that can be read
 * @param damage why the next entry cannot be applied, empty when there is no next entry
 * or it is intact
 */
public record LogStatus(long version, String damage) {
}
