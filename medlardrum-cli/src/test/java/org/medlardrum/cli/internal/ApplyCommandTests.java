package org.medlardrum.cli.internal;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.coordination.StoreEntry;
import org.medlardrum.coordination.StoreResult;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against writing changes that are invalid, in conflict with other changes or
 * based on a log that has lost changes, and against reporting a change as in force before
 * the entry hosts use it.
 */
class ApplyCommandTests {

	private static final String HOST = "127.0.0.1:9001";

	private final CliHarness cli = new CliHarness();

	@TempDir
	private Path directory;

	private Path base;

	private long hostVersion;

	@BeforeEach
	void applyTheFirstVersion() throws Exception {
		this.base = this.directory.resolve("base.json");
		writeBase(3);
		assertThat(this.cli.run("apply", "--base", this.base.toString())).isEqualTo(0);
	}

	@ParameterizedTest
	@ValueSource(strings = { "herd-tally", "arrieria-sur" })
	void exampleDeploymentsAreValidAndCanBeApplied(String name) {
		String deployment = "../deploy/" + name;
		assertThat(this.cli.run("check", "--base", deployment + "/base.json", "--overlays", deployment)).isEqualTo(0);
		assertThat(this.cli.out).contains("3 overlay(s)");
		assertThat(this.cli.run("apply", "--base", deployment + "/base.json", "--overlays", deployment)).isEqualTo(0);
		assertThat(this.cli.run("diff", "--base", deployment + "/base.json", "--overlays", deployment)).isEqualTo(0);
		assertThat(this.cli.out).contains("no difference");
	}

	@Test
	void waitsUntilTheChangeIsInForceAndNamesHostsWhereItIsNot() throws Exception {
		this.cli.setHostList(HOST);
		this.hostVersion = 1;
		AtomicInteger statusCalls = new AtomicInteger();
		// The host switches to version 2 at the tenth status call.
		this.cli.responders.put(HOST, (target) -> status((statusCalls.incrementAndGet() < 10) ? 1 : 2));
		writeBase(4);
		assertThat(apply()).isEqualTo(0);
		assertThat(this.cli.out).contains("accepted, version 2, in force at 1 of 1 entry hosts");
		writeBase(5);
		this.cli.responders.put(HOST,
				(target) -> CliHarness.ok("{\"configVersion\":2,\"configProblem\":\"version 3 is not valid here\"}"));
		assertThat(apply()).isEqualTo(1);
		assertThat(this.cli.out).contains("in force at 0 of 1 entry hosts, not at:\n  127.0.0.1:9001  version 2 "
				+ "version 3 is not valid here");
	}

	@Test
	void invalidOverlayIsRejectedBeforeAnyWrite() throws Exception {
		int storeWrites = this.cli.store.calls("compareAndSet");
		writeBase(4);
		Path overlay = this.directory.resolve("hr-central-1.json");
		Files.writeString(overlay, "{\"limits\":{\"maxAttempts\":0,\"retries\":1}}");
		assertThat(this.cli.run("apply", "--base", this.base.toString(), "--overlays", overlay.toString()))
			.isEqualTo(1);
		assertThat(this.cli.out).contains("overlay:hr-central-1:/limits/maxAttempts: is 0 (accepted: a whole number");
		assertThat(this.cli.out).contains("overlay:hr-central-1:/limits/retries: is not a known member");
		assertThat(this.cli.store.calls("compareAndSet")).isEqualTo(storeWrites);
	}

	@Test
	void conflictingChangeShowsTheOtherOperatorsEdit() throws Exception {
		writeBase(4);
		assertThat(apply()).isEqualTo(0);
		writeBase(5);
		assertThat(this.cli.run("apply", "--base", this.base.toString(), "--based-on", "1")).isEqualTo(4);
		assertThat(this.cli.out).contains("base:/limits/maxAttempts\n  - 3\n  + 4");
	}

	@Test
	void overlaysOfOtherAvailabilityZonesAreKeptUntilTheyAreRemoved() throws Exception {
		Path overlay = this.directory.resolve("z-1.json");
		Files.writeString(overlay, "{\"limits\":{\"maxAttempts\":2}}");
		assertThat(this.cli.run("apply", "--overlays", overlay.toString())).isEqualTo(0);
		writeBase(4);
		assertThat(apply()).isEqualTo(0);
		assertThat(this.cli.run("diff", "--from-version", "2", "--to-version", "3")).isEqualTo(0);
		assertThat(this.cli.out.lines().toList()).isEqualTo(List.of("base:/limits/maxAttempts", "  - 3", "  + 4"));
		assertThat(this.cli.run("apply", "--remove-overlays", "z-1")).isEqualTo(0);
		assertThat(this.cli.run("diff", "--overlays", overlay.toString())).isEqualTo(0);
		assertThat(this.cli.out).contains("overlay:z-1:\n  + {\"limits\"");
	}

	@Test
	void writesWhoseOutcomeCannotBeVerifiedAreReportedAsUnknown() throws Exception {
		writeBase(4);
		// More writes than the attempts for one change, so that none takes effect.
		this.cli.store.dropWrites(1_000);
		assertThat(apply()).isEqualTo(5);
		assertThat(this.cli.out).contains("outcome unknown");
	}

	@Test
	void changesThatTheStoreLostAreRestoredBeforeTheNextOne() throws Exception {
		writeBase(4);
		apply();
		this.cli.setHostList(HOST);
		String lost = ((StoreResult.Ok<StoreEntry>) this.cli.store.get("config/change/2")).value().value();
		this.hostVersion = 2;
		this.cli.responders.put(HOST, (target) -> target.equals("/config?after=1")
				? CliHarness.ok("{\"version\":2,\"changes\":[" + lost + "]}") : status(this.hostVersion));
		this.cli.store.lose("config/change/2");
		writeBase(5);
		// The host reports version 3 as soon as that version is written.
		this.cli.store.beforeWrite((key) -> this.hostVersion = key.equals("config/change/3") ? 3 : this.hostVersion);
		assertThat(apply()).isEqualTo(0);
		assertThat(this.cli.out).contains("accepted, version 3");
		assertThat(((StoreResult.Ok<StoreEntry>) this.cli.store.get("config/change/2")).value().value())
			.isEqualTo(lost);
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void nothingIsWrittenWhenLostChangesCannotBeRuledOut(boolean hostResponds) throws Exception {
		this.cli.setHostList(HOST);
		if (hostResponds) {
			this.cli.responders.put(HOST,
					(target) -> target.startsWith("/config") ? new AdminResponse(404, "", "") : status(7));
		}
		writeBase(4);
		int storeWrites = this.cli.store.calls("compareAndSet");
		assertThat(apply()).isEqualTo(3);
		assertThat(this.cli.err).contains("nothing was written");
		assertThat(this.cli.store.calls("compareAndSet")).isEqualTo(storeWrites);
	}

	private int apply() {
		return this.cli.run("apply", "--base", this.base.toString(), "--wait-ms", "5000");
	}

	private void writeBase(int maxAttempts) throws Exception {
		Files.writeString(this.base, "{\"schema\":1,\"limits\":{\"maxAttempts\":" + maxAttempts + "}}");
	}

	private static AdminResponse status(long version) {
		return CliHarness.ok("{\"hostId\":\"h1\",\"configVersion\":" + version + "}");
	}

}
