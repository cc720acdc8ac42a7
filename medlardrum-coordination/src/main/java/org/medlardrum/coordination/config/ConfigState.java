package org.medlardrum.coordination.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.medlardrum.peer.gen.ConfigEntry;
import org.medlardrum.peer.gen.ConfigPull;
import org.medlardrum.state.config.ConfigCodec;
import org.medlardrum.state.config.ConfigDocuments;

/**
 * State of the configuration log in an entry host. Immutable, so that it can be read
 * without a lock to serve peers.
 *
 * @param newest documents at the newest version read
 * @param active the newest documents that are valid in this host's availability zone, or
 * {@code null} if there are none
 * @param recent the last changes up to the newest version, oldest first
 */
record ConfigState(ConfigDocuments newest, ConfigDocuments active, List<ConfigEntry> recent) {

	/**
	 * Changes kept for peers. At 16,000 changes a day they cover more than 20 minutes.
	 */
	private static final int MAX_RECENT = 256;

	/**
	 * Largest response to a peer, in characters of its JSON texts. Peers accept frames of
	 * up to 1 MB.
	 */
	private static final int MAX_PULL_LENGTH = 256 * 1024;

	ConfigState withChange(ConfigDocuments documents, String changeJson, boolean valid) {
		List<ConfigEntry> changes = new ArrayList<>(this.recent);
		changes.add(new ConfigEntry(documents.version(), changeJson));
		if (changes.size() > MAX_RECENT) {
			changes.remove(0);
		}
		return new ConfigState(documents, valid ? documents : this.active, List.copyOf(changes));
	}

	ConfigState withSnapshot(ConfigDocuments documents, boolean valid) {
		return new ConfigState(documents, valid ? documents : this.active, List.of());
	}

	ConfigPull pull(long afterVersion) {
		if (afterVersion >= this.newest.version()) {
			return new ConfigPull(this.newest.version(), List.of());
		}
		return changesAfter(afterVersion).map((changes) -> new ConfigPull(this.newest.version(), changes))
			.orElseGet(this::snapshot);
	}

	private Optional<List<ConfigEntry>> changesAfter(long version) {
		List<ConfigEntry> changes = this.recent.stream().filter((entry) -> entry.getVersion() > version).toList();
		long length = changes.stream().mapToLong((entry) -> entry.getChangeJson().length()).sum();
		boolean complete = changes.size() == this.newest.version() - version;
		return (complete && length <= MAX_PULL_LENGTH) ? Optional.of(changes) : Optional.empty();
	}

	private ConfigPull snapshot() {
		ConfigPull pull = new ConfigPull(this.newest.version(), List.of());
		pull.setSnapshotJson(ConfigCodec.writeSnapshot(this.newest));
		return pull;
	}

}
