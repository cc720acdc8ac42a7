package org.medlardrum.coordination.config;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.jctools.queues.MpscArrayQueue;
import org.medlardrum.coordination.PeerNetwork;
import org.medlardrum.coordination.PeerResult;
import org.medlardrum.coordination.PlatformStore;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.coordination.StoreVersion;
import org.medlardrum.peer.gen.ConfigEntry;
import org.medlardrum.peer.gen.ConfigPull;
import org.medlardrum.state.Host;
import org.medlardrum.state.config.ConfigCodec;
import org.medlardrum.state.config.ConfigDocuments;
import org.medlardrum.state.config.ConfigFault;
import org.medlardrum.state.config.ConfigMerge;
import org.medlardrum.state.config.ConfigParser;
import org.medlardrum.state.config.ConfigResult;
import org.tinylog.Logger;

/**
 * Keeps the configuration of an entry host up to date: reads the configuration log from
 * the store and pulls changes from peers. It runs on the thread {@code config}; the
 * public methods may be called from any thread. The version never decreases: a response
 * from the store or a peer with an older version is ignored.
 * <p>
 * <pre>
 * ConfigAgent agent = new ConfigAgent(store, peers, settings, membership::livePeers, clock, random);
 * agent.onChange((documents) -&gt; admission.update(documents));
 * agent.start();
 * </pre>
 */
public final class ConfigAgent implements AutoCloseable {

	/**
	 * After this many changes read one by one the snapshot is read, as it may be newer.
	 */
	private static final int CHANGES_PER_SNAPSHOT_READ = 64;

	/** Reports of peers that wait for the thread; further ones are dropped. */
	private static final int MAX_QUEUED_REPORTS = 256;

	/** Peers queried in one step when the store cannot provide the next change. */
	private static final int PEERS_PER_STEP = 3;

	private final PlatformStore store;

	private final PeerNetwork peers;

	private final ConfigAgentSettings settings;

	private final Supplier<List<Host>> livePeers;

	private final InstantSource clock;

	private final RandomGenerator random;

	private final MpscArrayQueue<ReportedVersion> reports = new MpscArrayQueue<>(MAX_QUEUED_REPORTS);

	private final List<Consumer<ConfigDocuments>> listeners = new ArrayList<>();

	private final Thread thread = Thread.ofPlatform().name("config").daemon().unstarted(this::run);

	private volatile ConfigState state = new ConfigState(ConfigMerge.empty(), null, List.of());

	private volatile boolean closed;

	private volatile String problem = "";

	private boolean initialStateRead;

	private long nextPollAtMs;

	/**
	 * Version of the next entry if it cannot be applied, {@code ABSENT} otherwise. A
	 * watch waits until that entry is replaced.
	 */
	private StoreVersion damagedVersion = StoreVersion.ABSENT;

	private long highestReportedVersion;

	/**
	 * Creates an agent.
	 * @param store the platform's store
	 * @param peers network of entry hosts
	 * @param settings own host, timeouts and intervals
	 * @param livePeers supplies the live entry hosts
	 * @param clock clock that schedules polls of the store
	 * @param random source of jitter and peer selection
	 */
	public ConfigAgent(PlatformStore store, PeerNetwork peers, ConfigAgentSettings settings,
			Supplier<List<Host>> livePeers, InstantSource clock, RandomGenerator random) {
		this.store = store;
		this.peers = peers;
		this.settings = settings;
		this.livePeers = livePeers;
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Starts the thread {@code config}.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public void close() {
		this.closed = true;
		LockSupport.unpark(this.thread);
	}

	/**
	 * Returns the active documents: the newest ones that are valid at this host.
	 * @return the documents, empty until the first valid ones have been read
	 */
	public Optional<ConfigDocuments> current() {
		return Optional.ofNullable(this.state.active());
	}

	/**
	 * Returns why the last version read is not active.
	 * @return a short reason, empty when there is none
	 */
	public String problem() {
		return this.problem;
	}

	/**
	 * Registers a listener for documents that become active. It is called immediately
	 * with the active documents, if any, and for later ones on the thread {@code config}.
	 * It must not block.
	 * @param listener the listener
	 */
	public void onChange(Consumer<ConfigDocuments> listener) {
		synchronized (this.listeners) {
			this.listeners.add(listener);
			current().ifPresent(listener);
		}
	}

	/**
	 * Returns the changes after a version, for a peer or for the command line. Changes
	 * that this host cannot apply are not included.
	 * @param afterVersion version that the caller has
	 * @return the changes, or a snapshot when some of them are no longer kept or they are
	 * too large for one response
	 */
	public ConfigPull pull(long afterVersion) {
		return this.state.pull(afterVersion);
	}

	/**
	 * Records the version that a peer has reported. When it is newer than this host's
	 * version, the changes are pulled from the peer on the thread {@code config}.
	 * @param peer the peer
	 * @param version the peer's version
	 */
	public void peerVersionReported(Host peer, long version) {
		// Dropped when the queue is full: peers report their version every second.
		if (version > this.state.newest().version() && this.reports.offer(new ReportedVersion(peer, version))) {
			LockSupport.unpark(this.thread);
		}
	}

	/**
	 * Returns whether a host is one of those that watch the store for its availability
	 * zone.
	 * @param hostId the host
	 * @param availabilityZone its availability zone
	 * @param livePeers live entry hosts
	 * @return {@code true} if the host is one of the watchers
	 */
	public static boolean isWatcher(String hostId, String availabilityZone, Collection<Host> livePeers) {
		return ConfigWatchers.isWatcher(hostId, availabilityZone, livePeers);
	}

	private void run() {
		while (!this.closed) {
			long waitMs = stepOrRetry();
			if (waitMs > 0 && this.reports.isEmpty()) {
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(waitMs));
			}
		}
	}

	private long stepOrRetry() {
		try {
			return step();
		}
		catch (RuntimeException ex) {
			// If this thread ended, the host would stay at its version and still report
			// itself ready.
			Logger.error(ex, "config: reading or applying changes failed and will be retried");
			return jittered(this.settings.retryMs());
		}
	}

	/**
	 * Pulls the versions that peers have reported, and watches or polls the store when
	 * due.
	 * @return time to wait before the next step, in milliseconds
	 */
	long step() {
		pullReportedVersions();
		if (!this.initialStateRead) {
			return readInitialState();
		}
		List<Host> live = this.livePeers.get();
		if (ConfigWatchers.isWatcher(this.settings.hostId(), this.settings.availabilityZone(), live)) {
			return watch();
		}
		long nowMs = this.clock.millis();
		if (nowMs >= this.nextPollAtMs) {
			this.nextPollAtMs = nowMs + jittered(this.settings.pollMs());
			applyChangesFrom(this.store.get(nextKey()));
		}
		return Math.max(1, this.nextPollAtMs - nowMs);
	}

	private long readInitialState() {
		boolean storeResponded = readSnapshot();
		if (storeResponded) {
			applyChangesFrom(this.store.get(nextKey()));
		}
		// The store may be stale or may have lost changes, so peers are queried as well.
		boolean peerResponded = pullFromRandomPeers();
		this.initialStateRead = storeResponded || (peerResponded && this.state.active() != null);
		this.nextPollAtMs = this.clock.millis() + jittered(this.settings.pollMs());
		return this.initialStateRead ? 0 : jittered(this.settings.retryMs());
	}

	private long watch() {
		long startMs = this.clock.millis();
		StoreResult<StoreEntry> found = this.store.watch(nextKey(), this.damagedVersion, this.settings.watchMs());
		applyChangesFrom(found);
		if (found instanceof StoreResult.Ok<StoreEntry>) {
			return 0;
		}
		if (found instanceof StoreResult.NotFound<StoreEntry>) {
			// Prevents a busy loop when the store ends the watch early: at least half of
			// the watch time passes between two watches.
			return Math.max(0, this.settings.watchMs() / 2 - (this.clock.millis() - startMs));
		}
		if (this.state.active() == null) {
			pullFromRandomPeers();
		}
		return jittered(this.settings.retryMs());
	}

	private String nextKey() {
		return LogReader.changeKey(this.state.newest().version() + 1);
	}

	/**
	 * Applies the changes from the next version on, as far as the store has them.
	 * @param firstEntry result of reading the entry of the next version
	 */
	private void applyChangesFrom(StoreResult<StoreEntry> firstEntry) {
		StoreResult<StoreEntry> next = firstEntry;
		int count = 0;
		while (next instanceof StoreResult.Ok<StoreEntry> ok && applyChange(ok.value().value())) {
			count++;
			if (count % CHANGES_PER_SNAPSHOT_READ == 0) {
				readSnapshot();
			}
			next = this.store.get(nextKey());
		}
		// An entry left after the loop could not be applied.
		if (next instanceof StoreResult.Ok<StoreEntry> damaged) {
			this.damagedVersion = damaged.value().version();
			readSnapshot();
			pullFromRandomPeers();
		}
		else if (next instanceof StoreResult.NotFound<StoreEntry>
				&& this.highestReportedVersion > this.state.newest().version()) {
			// The store may hold a newer snapshot but not the changes before it.
			readSnapshot();
		}
	}

	/**
	 * Reads the snapshot from the store and applies it if it is newer.
	 * @return whether the store responded, also when it has no snapshot
	 */
	private boolean readSnapshot() {
		StoreResult<StoreEntry> snapshot = this.store.get(LogReader.SNAPSHOT_KEY);
		if (snapshot instanceof StoreResult.Ok<StoreEntry> ok) {
			applySnapshot(ok.value().value());
			return true;
		}
		return snapshot instanceof StoreResult.NotFound<StoreEntry>;
	}

	private void pullReportedVersions() {
		int failures = 0;
		for (ReportedVersion report = this.reports.poll(); report != null; report = this.reports.poll()) {
			this.highestReportedVersion = Math.max(this.highestReportedVersion, report.version());
			boolean needed = report.version() > this.state.newest().version() && failures < PEERS_PER_STEP;
			if (needed && !pullFrom(report.peer())) {
				failures++;
			}
		}
	}

	/**
	 * Pulls changes from a few random live peers.
	 * @return whether at least one of them responded, also when none had a newer version
	 */
	private boolean pullFromRandomPeers() {
		List<Host> candidates = new ArrayList<>(this.livePeers.get());
		candidates.removeIf((host) -> host.id().equals(this.settings.hostId()));
		Collections.shuffle(candidates, java.util.Random.from(this.random));
		boolean anyResponse = false;
		for (Host peer : candidates.subList(0, Math.min(PEERS_PER_STEP, candidates.size()))) {
			anyResponse |= pullFrom(peer);
		}
		return anyResponse;
	}

	/**
	 * Pulls changes from a peer and applies them.
	 * @param peer the peer
	 * @return whether the peer responded, also when it had no newer version
	 */
	private boolean pullFrom(Host peer) {
		PeerResult<ConfigPull> result = this.peers.pullConfig(peer, this.state.newest().version());
		if (!(result instanceof PeerResult.Ok<ConfigPull> ok)) {
			return false;
		}
		ConfigPull pull = ok.value();
		if (pull.isSetSnapshotJson()) {
			applySnapshot(pull.getSnapshotJson());
		}
		if (pull.isSetChanges()) {
			for (ConfigEntry entry : pull.getChanges()) {
				if (entry.getVersion() == this.state.newest().version() + 1 && !applyChange(entry.getChangeJson())) {
					break;
				}
			}
		}
		return true;
	}

	private boolean applyChange(String changeJson) {
		switch (EntryResult.apply(this.state.newest(), changeJson)) {
			case EntryResult.Applied applied -> {
				this.damagedVersion = StoreVersion.ABSENT;
				boolean valid = validate(applied.documents());
				publish(this.state.withChange(applied.documents(), changeJson, valid), valid);
				return true;
			}
			case EntryResult.Damaged damaged -> {
				reportProblem("not applied, version " + this.state.newest().version() + " stays: " + damaged.reason());
				return false;
			}
		}
	}

	private void applySnapshot(String snapshotJson) {
		Optional<ConfigDocuments> snapshot = ConfigCodec.readSnapshot(snapshotJson);
		if (snapshot.isEmpty()) {
			Logger.warn(
					"config: a snapshot from the store or a peer is not readable or fails its hash check and is ignored");
		}
		else if (snapshot.get().version() > this.state.newest().version()) {
			this.damagedVersion = StoreVersion.ABSENT;
			boolean valid = validate(snapshot.get());
			publish(this.state.withSnapshot(snapshot.get(), valid), valid);
		}
	}

	private boolean validate(ConfigDocuments documents) {
		// Invalid documents still become the newest version, because the change that
		// corrects them is based on them.
		ConfigResult result = ConfigParser.forAvailabilityZone(documents, this.settings.availabilityZone());
		if (result instanceof ConfigResult.Invalid invalid) {
			reportProblem("version " + documents.version() + " is not valid here: "
					+ String.join("; ", invalid.faults().stream().map(ConfigFault::describe).toList()));
			return false;
		}
		this.problem = "";
		return true;
	}

	private void reportProblem(String text) {
		if (!text.equals(this.problem)) {
			this.problem = text;
			Logger.error("config: {}", text);
		}
	}

	private void publish(ConfigState next, boolean valid) {
		synchronized (this.listeners) {
			this.state = next;
			if (valid) {
				Logger.info("config: version {} is in force", next.active().version());
				this.listeners.forEach((listener) -> notifyListener(listener, next.active()));
			}
		}
	}

	private static void notifyListener(Consumer<ConfigDocuments> listener, ConfigDocuments documents) {
		try {
			listener.accept(documents);
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "config: a listener failed on version {}", documents.version());
		}
	}

	private long jittered(long meanMs) {
		return meanMs * 3 / 4 + this.random.nextLong(Math.max(1, meanMs / 2));
	}

	private record ReportedVersion(Host peer, long version) {
	}

}
