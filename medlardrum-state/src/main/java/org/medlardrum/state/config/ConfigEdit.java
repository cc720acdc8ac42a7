package org.medlardrum.state.config;

import com.google.gson.JsonElement;

/**
 * One edit of a configuration document.
 *
 * @param document {@code base} or {@code overlay:<site>}, where the site is the name of
 * an availability zone
 * @param path JSON pointer (RFC 6901) to a member, for example {@code /routes/report}
 * @param oldValue value before the edit, {@code null} when the member was absent
 * @param newValue value after the edit, {@code null} to remove the member
 */
public record ConfigEdit(String document, String path, JsonElement oldValue, JsonElement newValue) {
}
