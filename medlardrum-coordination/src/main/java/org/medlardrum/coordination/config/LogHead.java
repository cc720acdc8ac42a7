package org.medlardrum.coordination.config;

import org.medlardrum.coordination.StoreVersion;
import org.medlardrum.state.config.ConfigDocuments;

/**
 * Newest readable state of the log.
 *
 * @param documents documents at the newest readable version
 * @param snapshotVersion version of the snapshot, 0 when there is none
 * @param snapshotStoreVersion version of the snapshot's key in the store, absent when
 * there is none
 * @param damage why the next entry cannot be applied, empty when there is no next entry
 * or it is intact
 */
record LogHead(ConfigDocuments documents, long snapshotVersion, StoreVersion snapshotStoreVersion, String damage) {

	LogStatus status() {
		return new LogStatus(this.documents.version(), this.damage);
	}

}
