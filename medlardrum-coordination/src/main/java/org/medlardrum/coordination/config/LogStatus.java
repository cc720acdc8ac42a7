package org.medlardrum.coordination.config;

/**
 * How far the log in the store can be read.
 *
 * @param version newest version that can be read
 * @param damage what is wrong with the next entry, empty when there is none or it is
 * intact
 */
public record LogStatus(long version, String damage) {
}
