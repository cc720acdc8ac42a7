package org.medlardrum.coordination.config;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;

import com.google.gson.JsonObject;
import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.StoreVersion;
import org.medlardrum.peer.gen.ConfigEntry;
import org.medlardrum.peer.gen.ConfigPull;
import org.medlardrum.state.config.ConfigChange;
import org.medlardrum.state.config.ConfigCodec;
import org.medlardrum.state.config.ConfigDocuments;
import org.medlardrum.state.config.ConfigEdit;
import org.medlardrum.state.config.ConfigFault;
import org.medlardrum.state.config.ConfigMerge;
import org.medlardrum.state.config.ConfigValidator;
import org.tinylog.Logger;

/**
 * Writes the configuration log. A change is accepted if and only if its key
 * {@code config/change/<version>} was created. Not thread-safe.
 * <p>
 * <pre>
 * ConfigLog log = new ConfigLog(store, InstantSource.system());
 * if (log.load() instanceof StoreResult.Ok&lt;ConfigDocuments&gt; ok) {
 *     ApplyResult result = log.apply(ok.value(), base, overlays, "ana");
 * }
 * </pre>
 */
public final class ConfigLog {

	/**
	 * Changes between two snapshots. A starting host reads about this many changes at
	 * most.
	 */
	static final int SNAPSHOT_INTERVAL = 64;

	/** Attempts to write one change before the store is considered too contended. */
	private static final int MAX_WRITE_ATTEMPTS = 32;

	private final PlatformStore store;

	private final InstantSource clock;

	private final LogReader reader;

	private final ChangeWriter writer;

	public ConfigLog(PlatformStore store, InstantSource clock) {
		this.store = store;
		this.clock = clock;
		this.reader = new LogReader(store);
		this.writer = new ChangeWriter(store);
	}

	/**
	 * Reads the newest documents.
	 * @return the documents, with version 0 when there is no change yet;
	 * {@code Unavailable} also when an entry of the log is damaged
	 */
	public StoreResult<ConfigDocuments> load() {
		StoreResult<LogHead> head = intactHead();
		return (head instanceof StoreResult.Ok<LogHead> ok) ? new StoreResult.Ok<>(ok.value().documents())
				: LogReader.failure(head);
	}

	/**
	 * Determines how far the log can be read.
	 * @return the newest readable version and the damage of the entry after it, if any
	 */
	public StoreResult<LogStatus> status() {
		StoreResult<LogHead> head = this.reader.head();
		return (head instanceof StoreResult.Ok<LogHead> ok) ? new StoreResult.Ok<>(ok.value().status())
				: LogReader.failure(head);
	}

	/**
	 * Reads the documents of an older version by reverting the changes after it.
	 * @param version the version
	 * @return the documents, {@code NotFound} when the version does not exist
	 */
	public StoreResult<ConfigDocuments> loadAt(long version) {
		StoreResult<ConfigDocuments> newest = load();
		if (!(newest instanceof StoreResult.Ok<ConfigDocuments> ok)) {
			return newest;
		}
		ConfigDocuments documents = ok.value();
		if (version < 0 || version > documents.version()) {
			return new StoreResult.NotFound<>();
		}
		while (documents.version() > version) {
			StoreResult<ConfigChange> change = this.reader.change(documents.version());
			if (!(change instanceof StoreResult.Ok<ConfigChange> found)) {
				return LogReader.failure(change);
			}
			documents = ConfigMerge.revert(documents, found.value().edits(), documents.version() - 1);
			if (!documents.hash().equals(found.value().parentHash())) {
				return new StoreResult.Unavailable<>("change " + found.value().version()
						+ " cannot be reverted: the documents before it do not match its parent hash");
			}
		}
		return new StoreResult.Ok<>(documents);
	}

	/**
	 * Reads the newest changes.
	 * @param limit largest number of changes
	 * @return the changes, newest first
	 */
	public StoreResult<List<ConfigChange>> history(int limit) {
		StoreResult<LogHead> head = this.reader.head();
		if (!(head instanceof StoreResult.Ok<LogHead> ok)) {
			return LogReader.failure(head);
		}
		List<ConfigChange> changes = new ArrayList<>();
		for (long version = ok.value().documents().version(); version > 0 && changes.size() < limit; version--) {
			StoreResult<ConfigChange> change = this.reader.change(version);
			if (change instanceof StoreResult.Ok<ConfigChange> found) {
				changes.add(found.value());
			}
			else if (change instanceof StoreResult.NotFound<ConfigChange>) {
				// A log restored from a snapshot starts at the snapshot.
				return new StoreResult.Ok<>(changes);
			}
			else {
				return LogReader.failure(change);
			}
		}
		return new StoreResult.Ok<>(changes);
	}

	/**
	 * Writes new documents as one change. When other changes were accepted in the
	 * meantime, the edits are rebased on them unless both edit the same members.
	 * @param basedOn documents that the new ones are derived from
	 * @param base the new base document
	 * @param overlays the new overlays by availability zone
	 * @param author the operator who makes the change
	 * @return whether the change was accepted, and otherwise why not
	 */
	public ApplyResult apply(ConfigDocuments basedOn, JsonObject base, Map<String, JsonObject> overlays,
			String author) {
		List<ConfigFault> faults = ConfigValidator.validate(base, overlays);
		if (!faults.isEmpty()) {
			return new ApplyResult.Rejected(faults);
		}
		List<ConfigEdit> edits = ConfigMerge.diff(basedOn, ConfigMerge.documents(0, base, overlays));
		String changeId = UUID.randomUUID().toString();
		for (int attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
			Optional<ApplyResult> result = tryApply(basedOn, edits, changeId, author);
			if (result.isPresent()) {
				return result.get();
			}
		}
		return new ApplyResult.Unavailable(
				"other changes were accepted first in each of " + MAX_WRITE_ATTEMPTS + " attempts");
	}

	private Optional<ApplyResult> tryApply(ConfigDocuments basedOn, List<ConfigEdit> edits, String changeId,
			String author) {
		StoreResult<LogHead> read = intactHead();
		if (!(read instanceof StoreResult.Ok<LogHead> ok)) {
			return Optional.of(new ApplyResult.Unavailable(reasonOf(read)));
		}
		LogHead head = ok.value();
		ConfigDocuments newest = head.documents();
		Optional<ApplyResult> failure = findRebaseFailure(basedOn, newest, edits);
		if (failure.isPresent()) {
			return failure;
		}
		ConfigDocuments result = ConfigMerge.apply(newest, edits, newest.version() + 1);
		if (result.hash().equals(newest.hash())) {
			return Optional.of(new ApplyResult.Unchanged(newest.version()));
		}
		List<ConfigFault> faults = ConfigValidator.validate(result.base(), result.overlays());
		if (!faults.isEmpty()) {
			return Optional.of(new ApplyResult.Rejected(faults));
		}
		ConfigChange change = new ConfigChange(result.version(), changeId, newest.hash(), result.hash(), author,
				this.clock.millis(), ConfigMerge.diff(newest, result));
		return write(change, head, result);
	}

	private Optional<ApplyResult> write(ConfigChange change, LogHead head, ConfigDocuments result) {
		return switch (this.writer.create(change)) {
			case StoreResult.Ok<StoreEntry> created -> {
				writeSnapshotIfDue(head, result);
				yield Optional.of(new ApplyResult.Accepted(change.version()));
			}
			case StoreResult.Conflict<StoreEntry> conflict -> {
				if (conflict.current() != null) {
					this.reader.keepConflicting(change.version(), conflict.current());
				}
				yield Optional.empty();
			}
			case StoreResult.Unknown<StoreEntry> unknown ->
				Optional.of(new ApplyResult.Unknown(change.changeId(), unknown.reason()));
			case StoreResult.Unavailable<StoreEntry> unavailable ->
				Optional.of(new ApplyResult.Unavailable(unavailable.reason()));
			case StoreResult.NotFound<StoreEntry> missing ->
				Optional.of(new ApplyResult.Unavailable("the store refused the write"));
		};
	}

	private Optional<ApplyResult> findRebaseFailure(ConfigDocuments basedOn, ConfigDocuments newest,
			List<ConfigEdit> edits) {
		if (newest.version() < basedOn.version()) {
			return Optional.of(new ApplyResult.Unavailable("the store's log ends at version " + newest.version()
					+ ", before version " + basedOn.version() + " on which the change is based"));
		}
		List<ConfigEdit> overlapping = new ArrayList<>();
		for (long version = basedOn.version() + 1; version <= newest.version(); version++) {
			StoreResult<ConfigChange> change = this.reader.change(version);
			if (!(change instanceof StoreResult.Ok<ConfigChange> found)) {
				return Optional
					.of(new ApplyResult.Unavailable("change " + version + " is not readable: " + reasonOf(change)));
			}
			found.value()
				.edits()
				.stream()
				.filter((other) -> edits.stream().anyMatch((own) -> conflicts(own, other)))
				.forEach(overlapping::add);
		}
		return overlapping.isEmpty() ? Optional.empty()
				: Optional.of(new ApplyResult.Conflicting(newest.version(), overlapping));
	}

	private static boolean conflicts(ConfigEdit own, ConfigEdit other) {
		// Setting a member to the same value is not a conflict.
		boolean equal = own.path().equals(other.path()) && own.newValue() != null && other.newValue() != null
				&& ConfigMerge.canonical(own.newValue()).equals(ConfigMerge.canonical(other.newValue()));
		return ConfigMerge.overlap(own, other) && !equal;
	}

	/**
	 * Restores accepted changes that the store has lost from an entry host that still
	 * holds them. Without this, the next change would reuse the version of a lost one and
	 * entry hosts would ignore it.
	 * @param pulled an entry host's response to a pull of the changes after
	 * {@link LogStatus#version()}
	 * @return the newest version after the repair, {@code Conflict} when the store holds
	 * another intact change under the version of a lost one
	 */
	public StoreResult<Long> restore(ConfigPull pulled) {
		StoreResult<LogHead> read = this.reader.head();
		if (!(read instanceof StoreResult.Ok<LogHead> ok)) {
			return LogReader.failure(read);
		}
		LogHead head = ok.value();
		ConfigDocuments documents = head.documents();
		Optional<ConfigDocuments> snapshot = pulled.isSetSnapshotJson()
				? ConfigCodec.readSnapshot(pulled.getSnapshotJson()) : Optional.empty();
		if (snapshot.isPresent() && snapshot.get().version() > documents.version()) {
			documents = snapshot.get();
			StoreResult<StoreEntry> written = writeSnapshot(head.snapshotStoreVersion(), documents);
			if (!(written instanceof StoreResult.Ok<StoreEntry>)) {
				return LogReader.failure(written);
			}
		}
		return restoreChanges(pulled, documents);
	}

	private StoreResult<Long> restoreChanges(ConfigPull pulled, ConfigDocuments start) {
		ConfigDocuments documents = start;
		List<ConfigEntry> changes = pulled.isSetChanges() ? pulled.getChanges() : List.of();
		for (ConfigEntry entry : changes) {
			if (entry.getVersion() <= documents.version()) {
				continue;
			}
			switch (EntryResult.apply(documents, entry.getChangeJson())) {
				case EntryResult.Damaged damaged -> {
					return new StoreResult.Unavailable<>("an entry host sent an unusable change: " + damaged.reason());
				}
				case EntryResult.Applied applied -> {
					StoreResult<StoreEntry> written = restoreChange(applied.change(), documents);
					if (!(written instanceof StoreResult.Ok<StoreEntry>)) {
						return LogReader.failure(written);
					}
					Logger.info("config: change {} was restored in the store", applied.documents().version());
					documents = applied.documents();
				}
			}
		}
		return new StoreResult.Ok<>(documents.version());
	}

	private StoreResult<StoreEntry> restoreChange(ConfigChange change, ConfigDocuments before) {
		StoreResult<StoreEntry> created = this.writer.create(change);
		if (created instanceof StoreResult.Conflict<StoreEntry> conflict && conflict.current() != null
				&& EntryResult.apply(before, conflict.current().value()) instanceof EntryResult.Damaged) {
			return this.writer.replace(change, conflict.current());
		}
		return created;
	}

	private StoreResult<LogHead> intactHead() {
		StoreResult<LogHead> head = this.reader.head();
		if (head instanceof StoreResult.Ok<LogHead> ok && !ok.value().damage().isEmpty()) {
			return new StoreResult.Unavailable<>(ok.value().damage());
		}
		return head;
	}

	private void writeSnapshotIfDue(LogHead head, ConfigDocuments documents) {
		// A failure is tolerated, because the next change tries again.
		if (documents.version() - head.snapshotVersion() >= SNAPSHOT_INTERVAL
				&& !(writeSnapshot(head.snapshotStoreVersion(), documents) instanceof StoreResult.Ok<StoreEntry>)) {
			Logger.warn("config: the snapshot of version {} was not written", documents.version());
		}
	}

	private StoreResult<StoreEntry> writeSnapshot(StoreVersion expected, ConfigDocuments documents) {
		return this.store.compareAndSet(LogReader.SNAPSHOT_KEY, expected, ConfigCodec.writeSnapshot(documents), null);
	}

	private static String reasonOf(StoreResult<?> result) {
		return switch (result) {
			case StoreResult.Unavailable<?> unavailable -> unavailable.reason();
			case StoreResult.Unknown<?> unknown -> unknown.reason();
			case StoreResult.NotFound<?> missing -> "not found";
			case StoreResult.Conflict<?> conflict -> "conflict";
			case StoreResult.Ok<?> ok -> "";
		};
	}

}
