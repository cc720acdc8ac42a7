package org.medlardrum.state.config;

import java.util.List;

/**
 * An accepted change of the configuration. It is stored under
 * {@code config/change/<version>}.
 *
 * @param version version that the change creates, previous version plus one
 * @param changeId random identifier by which the author recognises its own change
 * @param parentHash hash of the documents before the change
 * @param resultHash hash of the documents after the change
 * @param author operator
 * @param atMs clock reading of the author, in milliseconds
 * @param edits the edits
 */
public record ConfigChange(long version, String changeId, String parentHash, String resultHash, String author,
		long atMs, List<ConfigEdit> edits) {
}
