package org.medlardrum.state.config;

import java.util.List;

/**
 * An accepted change of the configuration, stored under {@code config/change/<version>}.
 *
 * @param version version that results from the change, the previous version plus one
 * @param changeId random identifier by which the author recognises its own change
 * @param parentHash hash of the documents before the change
 * @param resultHash hash of the documents after the change
 * @param author name of the operator
 * @param atMs time of the change on the author's clock, in milliseconds
 * @param edits the edits
 */
public record ConfigChange(long version, String changeId, String parentHash, String resultHash, String author,
		long atMs, List<ConfigEdit> edits) {
}
