package org.medlardrum.coordination.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import com.google.gson.JsonObject;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.coordination.FakePlatformStore;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreResult;
import org.medlardrum.peer.gen.ConfigEntry;
import org.medlardrum.peer.gen.ConfigPull;
import org.medlardrum.state.ManualClock;
import org.medlardrum.state.config.ConfigChange;
import org.medlardrum.state.config.ConfigCodec;
import org.medlardrum.state.config.ConfigDocuments;
import org.medlardrum.state.config.ConfigEdit;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against changes that are lost, applied twice or silently overwritten.
 */
class ConfigLogTests {

	private final ManualClock clock = new ManualClock(1_000);

	private final FakePlatformStore store = new FakePlatformStore(this.clock);

	private final ConfigLog log = new ConfigLog(this.store, this.clock);

	@BeforeEach
	void acceptTheFirstVersion() {
		ConfigFixtures.accept(this.log, 1);
	}

	@Test
	void disjointChangesOfTwoOperatorsBothTakeEffect() {
		ConfigDocuments common = ConfigFixtures.load(this.log);
		ConfigLog other = new ConfigLog(this.store, this.clock);
		ConfigFixtures.applyBase(other, common, ConfigFixtures.weight(common.base(), "north", 5));
		ApplyResult result = ConfigFixtures.applyBase(this.log, common,
				ConfigFixtures.weight(common.base(), "south", 7));
		assertThat(result).isEqualTo(new ApplyResult.Accepted(3));
		JsonObject organisations = ConfigFixtures.load(this.log).base().getAsJsonObject("organisations");
		assertThat(organisations.getAsJsonObject("north").get("weight").getAsInt()).isEqualTo(5);
		assertThat(organisations.getAsJsonObject("south").get("weight").getAsInt()).isEqualTo(7);
	}

	@Test
	void changeThatComesInBetweenReadAndWriteIsRebased() {
		ConfigDocuments common = ConfigFixtures.load(this.log);
		ConfigLog other = new ConfigLog(this.store, this.clock);
		this.store.beforeWrite((key) -> {
			this.store.beforeWrite((next) -> {
			});
			ConfigFixtures.accept(other, 5);
		});
		ApplyResult result = ConfigFixtures.applyBase(this.log, common,
				ConfigFixtures.weight(common.base(), "south", 7));
		assertThat(result).isEqualTo(new ApplyResult.Accepted(3));
	}

	@Test
	void concurrentOperatorsLoseNoChangeWhenAnswersAreLost() throws Exception {
		int operators = 6;
		ConfigDocuments common = ConfigFixtures.load(this.log);
		List<Callable<ApplyResult>> tasks = new ArrayList<>();
		for (int operator = 0; operator < operators; operator++) {
			JsonObject base = ConfigFixtures.baseWith(common.base(),
					"{'organisations':{'new-" + operator + "':{'keySha256':[]}}}");
			ConfigLog own = new ConfigLog(this.store, this.clock);
			tasks.add(() -> ConfigFixtures.applyBase(own, common, base));
		}
		this.store.loseResponses(4);
		Set<ApplyResult> results = new HashSet<>();
		try (ExecutorService threads = Executors.newFixedThreadPool(operators)) {
			for (Future<ApplyResult> result : threads.invokeAll(tasks)) {
				results.add(result.get());
			}
		}
		for (int version = 2; version <= operators + 1; version++) {
			assertThat(results).contains(new ApplyResult.Accepted(version));
		}
		assertThat(ConfigFixtures.load(this.log).base().getAsJsonObject("organisations").size())
			.isEqualTo(operators + 2);
	}

	@Test
	void conflictingChangeIsRefusedWithTheOtherOperatorsEdit() {
		ConfigDocuments common = ConfigFixtures.load(this.log);
		ConfigFixtures.accept(new ConfigLog(this.store, this.clock), 5);
		ApplyResult result = ConfigFixtures.applyBase(this.log, common,
				ConfigFixtures.weight(common.base(), "north", 7));
		List<ConfigEdit> edits = ((ApplyResult.Conflicting) result).edits();
		assertThat(edits.stream().map(ConfigEdit::path)).containsExactly("/organisations/north");
		assertThat(edits.get(0).newValue().getAsJsonObject().get("weight").getAsInt()).isEqualTo(5);
		assertThat(ConfigFixtures.load(this.log).version()).isEqualTo(2);
	}

	@Test
	void rebaseThatWouldContradictIsRefused() {
		ConfigDocuments common = ConfigFixtures.load(this.log);
		JsonObject second = ConfigFixtures.baseWith(common.base(),
				"{'models':{'other':{'layers':2,'pool':'engines'}},'routes':{'report':{'model':'other'}}}");
		ConfigFixtures.applyBase(this.log, common, ConfigFixtures.baseWith(second, "{'models':{'tally':null}}"));
		ApplyResult result = ConfigFixtures.applyBase(this.log, common, ConfigFixtures.baseWith(common.base(),
				"{'routes':{'digest':{'kind':'model','model':'tally','rank':'background','timeoutMs':90000}}}"));
		assertThat(((ApplyResult.Rejected) result).faults().get(0).path()).isEqualTo("base:/routes/digest/model");
	}

	@Test
	void lostAnswerToAnAcceptedWriteIsReadBack() {
		this.store.loseResponses(1);
		ConfigFixtures.accept(this.log, 5);
		assertThat(ConfigFixtures.load(this.log).version()).isEqualTo(2);
	}

	@Test
	void writeThatNeverArrivedIsRepeated() {
		this.store.dropWrites(2);
		ConfigFixtures.accept(this.log, 5);
		assertThat(ConfigFixtures.load(this.log).version()).isEqualTo(2);
	}

	@Test
	void lostAnswerWithStaleReadBackIsStillRecognised() {
		this.store.beginStaleReads();
		this.store.loseResponses(1);
		ConfigFixtures.accept(this.log, 5);
		this.store.endStaleReads();
		assertThat(ConfigFixtures.load(this.log).version()).isEqualTo(2);
	}

	@Test
	void outcomeIsUnknownWhenTheStoreStaysSilent() {
		this.store.dropWrites(1_000);
		ConfigDocuments common = ConfigFixtures.load(this.log);
		assertThat(ConfigFixtures.applyBase(this.log, common, ConfigFixtures.weight(common.base(), "north", 5)))
			.isInstanceOf(ApplyResult.Unknown.class);
	}

	@Test
	void outageRefusesTheChange() {
		ConfigDocuments common = ConfigFixtures.load(this.log);
		this.store.setOutage(true);
		assertThat(ConfigFixtures.applyBase(this.log, common, ConfigFixtures.weight(common.base(), "north", 5)))
			.isEqualTo(new ApplyResult.Unavailable("outage"));
	}

	@Test
	void staleStoreCannotHideTheChangeThatCameFirst() {
		ConfigDocuments common = ConfigFixtures.load(this.log);
		this.store.beginStaleReads();
		ConfigFixtures.applyBase(new ConfigLog(this.store, this.clock), common,
				ConfigFixtures.weight(common.base(), "south", 7));
		ConfigFixtures.accept(this.log, 5);
		this.store.endStaleReads();
		assertThat(ConfigFixtures.load(this.log).version()).isEqualTo(3);
	}

	@Test
	void faultyOverlayIsRefusedWholeBeforeAnyWrite() {
		int writes = this.store.calls("compareAndSet");
		ConfigDocuments common = ConfigFixtures.load(this.log);
		JsonObject overlay = ConfigFixtures.baseWith(new JsonObject(), "{'limits':{'maxAttempts':99}}");
		ApplyResult result = this.log.apply(common, ConfigFixtures.weight(common.base(), "north", 5),
				Map.of("hr-central-1", overlay), "ana");
		assertThat(((ApplyResult.Rejected) result).faults().get(0).path())
			.isEqualTo("overlay:hr-central-1:/limits/maxAttempts");
		assertThat(this.store.calls("compareAndSet")).isEqualTo(writes);
	}

	@Test
	void snapshotShortensTheLogAndOlderVersionsStayReadable() {
		for (int weight = 2; weight <= 70; weight++) {
			ConfigFixtures.accept(this.log, weight);
		}
		int reads = this.store.calls("get");
		assertThat(ConfigFixtures.load(this.log).version()).isEqualTo(70);
		assertThat(this.store.calls("get") - reads).isEqualTo(8);
		ConfigDocuments old = ((StoreResult.Ok<ConfigDocuments>) this.log.loadAt(30)).value();
		JsonObject north = old.base().getAsJsonObject("organisations").getAsJsonObject("north");
		assertThat(north.get("weight").getAsInt()).isEqualTo(30);
		List<ConfigChange> history = ((StoreResult.Ok<List<ConfigChange>>) this.log.history(3)).value();
		assertThat(history.stream().map(ConfigChange::version)).containsExactly(70L, 69L, 68L).inOrder();
	}

	@ParameterizedTest
	@ValueSource(longs = { 2, 3, 4 })
	void lostChangesAreRestoredFromAnEntryHost(long lost) {
		ConfigState host = hostWithVersions(4);
		this.store.lose(LogReader.changeKey(lost));
		LogStatus status = ((StoreResult.Ok<LogStatus>) this.log.status()).value();
		assertThat(status.version()).isEqualTo(lost - 1);
		assertThat(this.log.restore(host.pull(status.version()))).isEqualTo(new StoreResult.Ok<>(4L));
		ConfigFixtures.accept(this.log, 50);
		assertThat(ConfigFixtures.load(this.log).version()).isEqualTo(5);
	}

	@Test
	void changeOnTopOfALostVersionIsRefused() {
		hostWithVersions(4);
		ConfigDocuments newest = ConfigFixtures.load(this.log);
		this.store.lose(LogReader.changeKey(4));
		assertThat(ConfigFixtures.applyBase(this.log, newest, ConfigFixtures.weight(newest.base(), "south", 7)))
			.isInstanceOf(ApplyResult.Unavailable.class);
	}

	@Test
	void emptiedStoreContinuesFromTheHostsSnapshot() {
		ConfigState host = hostWithVersions(4);
		FakePlatformStore empty = new FakePlatformStore(this.clock);
		ConfigLog restored = new ConfigLog(empty, this.clock);
		ConfigState forgetful = new ConfigState(host.newest(), host.active(), List.of());
		assertThat(restored.restore(forgetful.pull(0))).isEqualTo(new StoreResult.Ok<>(4L));
		ConfigFixtures.accept(restored, 50);
		assertThat(ConfigFixtures.load(restored).version()).isEqualTo(5);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "{}", "weight" })
	void damagedChangeStopsTheWriterUntilItIsRepaired(String damage) {
		ConfigState host = hostWithVersions(3);
		String key = LogReader.changeKey(3);
		String intact = ((StoreResult.Ok<StoreEntry>) this.store.get(key)).value().value();
		this.store.put(key, damage.equals("weight") ? intact.replace("\"weight\":3", "\"weight\":4") : damage);
		assertThat(this.log.load()).isInstanceOf(StoreResult.Unavailable.class);
		assertThat(this.log.restore(host.pull(2))).isEqualTo(new StoreResult.Ok<>(3L));
		assertThat(ConfigFixtures.load(this.log).version()).isEqualTo(3);
	}

	@Test
	void restoreDoesNotReplaceAnotherIntactChange() {
		ConfigState host = hostWithVersions(2);
		this.store.lose(LogReader.changeKey(2));
		ConfigFixtures.accept(this.log, 9);
		assertThat(this.log.restore(new ConfigPull(2, host.recent()))).isEqualTo(new StoreResult.Ok<>(2L));
		List<ConfigChange> history = ((StoreResult.Ok<List<ConfigChange>>) this.log.history(1)).value();
		assertThat(history.get(0).edits().get(0).newValue().toString()).contains("9");
	}

	/** Accepts changes up to a version and returns the state of a host that read them. */
	private ConfigState hostWithVersions(int version) {
		for (int weight = 2; weight <= version; weight++) {
			ConfigFixtures.accept(this.log, weight);
		}
		List<ConfigChange> changes = ((StoreResult.Ok<List<ConfigChange>>) this.log.history(100)).value();
		List<ConfigEntry> entries = changes.reversed()
			.stream()
			.map((change) -> new ConfigEntry(change.version(), ConfigCodec.writeChange(change)))
			.toList();
		ConfigDocuments newest = ConfigFixtures.load(this.log);
		return new ConfigState(newest, newest, entries);
	}

}
