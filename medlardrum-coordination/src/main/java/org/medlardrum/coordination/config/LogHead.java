package org.medlardrum.coordination.config;

import org.medlardrum.state.config.ConfigDocuments;

/**
 * End of the readable part of the log.
 *
 * @param documents documents at that version
 * @param snapshotVersion version of the snapshot, 0 when there is none
 * @param snapshotRevision revision of the snapshot's key, 0 when there is none
 * @param damage what is wrong with the next entry, empty when there is none or it is
 * intact
 */
record LogHead(ConfigDocuments documents, long snapshotVersion, long snapshotRevision, String damage) {

	LogStatus status() {
		return new LogStatus(this.documents.version(), this.damage);
	}

}
