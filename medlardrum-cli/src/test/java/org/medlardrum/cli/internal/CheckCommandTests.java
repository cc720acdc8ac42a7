package org.medlardrum.cli.internal;

import java.nio.file.Files;
import java.nio.file.Path;

import com.google.gson.JsonObject;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against wrong exit codes and outputs of the review of a configuration, and
 * against a review that needs the store without being asked to.
 */
class CheckCommandTests {

	private static final String WARNING = "base:/pools/spare: no route and no model uses the pool";

	private final CliHarness cli = new CliHarness();

	@TempDir
	private Path directory;

	private String plain;

	private String unusedPool;

	@BeforeEach
	void writeFiles() throws Exception {
		this.plain = write("plain.json", "{\"schema\":1}");
		this.unusedPool = write("unused-pool.json", "{\"schema\":1,\"pools\":{\"spare\":{\"kind\":\"service\"}}}");
	}

	/** Guards against false findings that would fail a strict review of real files. */
	@ParameterizedTest
	@CsvSource({ "herd-tally, herd-tally", "arrieria-sur, arrieria-sur", "demo, demo/overlays",
			"measure, measure/overlays" })
	void realConfigurationsPassTheStrictReviewOffline(String base, String overlays) {
		this.cli.store.setOutage(true);
		assertThat(this.cli.run("check", "--strict", "--base", "../deploy/" + base + "/base.json", "--overlays",
				"../deploy/" + overlays))
			.isEqualTo(0);
		assertThat(this.cli.out).doesNotContain("warning");
	}

	/** Guards against warnings that fail a review which is not strict. */
	@Test
	void warningsChangeTheExitCodeOnlyIfStrict() {
		assertThat(this.cli.run("check", "--base", this.unusedPool)).isEqualTo(0);
		assertThat(this.cli.out).startsWith("valid, base and 0 overlay(s), hash ");
		assertThat(this.cli.out).contains("1 warning(s):\n  " + WARNING);
		assertThat(this.cli.run("check", "--strict", "--base", this.unusedPool)).isEqualTo(1);
		assertThat(this.cli.out).startsWith("refused because of --strict, ");
		assertThat(this.cli.run("check", "--strict", "--base", this.plain, "--against", this.unusedPool)).isEqualTo(0);
		assertThat(this.cli.out).contains("1 difference(s):\n  base:/pools/spare: removed: ");
	}

	/** Guards against findings that tools cannot read. */
	@Test
	void jsonListsTheFindings() {
		this.cli.run("check", "--json", "--strict", "--base", this.unusedPool, "--against", this.plain);
		assertThat(this.cli.json().get("outcome").getAsString()).isEqualTo("rejected");
		JsonObject warning = this.cli.json().getAsJsonArray("findings").get(0).getAsJsonObject();
		assertThat(warning.get("severity").getAsString()).isEqualTo("warning");
		assertThat(warning.get("path").getAsString()).isEqualTo("base:/pools/spare");
		JsonObject change = this.cli.json().getAsJsonArray("findings").get(1).getAsJsonObject();
		assertThat(change.get("severity").getAsString()).isEqualTo("change");
		assertThat(change.get("message").getAsString()).startsWith("added: ");
	}

	/**
	 * Guards against a comparison with a faulty file, whose values in force are unknown.
	 */
	@Test
	void faultsOfEitherSideAreNamed() throws Exception {
		String faulty = write("faulty.json", "{\"schema\":2}");
		assertThat(this.cli.run("check", "--base", faulty, "--against", this.plain)).isEqualTo(1);
		assertThat(this.cli.out).contains("  base:/schema: is 2");
		assertThat(this.cli.run("check", "--base", this.plain, "--against", faulty)).isEqualTo(1);
		assertThat(this.cli.out).contains("  --against base:/schema: is 2");
	}

	/**
	 * Guards against a comparison with another version than the one asked for, and
	 * against overlays of the version that the review leaves out.
	 */
	@ParameterizedTest
	@CsvSource({ "newest, no difference, 1", "2, no difference, 1", "1, base:/pools/spare: added, 1",
			"0, base:/pools/spare: added, 0" })
	void comparesWithAStoredVersion(String version, String expected, int overlays) throws Exception {
		String overlay = write("z-1.json", "{\"limits\":{\"maxAttempts\":2}}");
		assertThat(this.cli.run("apply", "--base", this.plain, "--overlays", overlay)).isEqualTo(0);
		assertThat(this.cli.out).doesNotContain("warning");
		assertThat(this.cli.run("apply", "--base", this.unusedPool)).isEqualTo(0);
		assertThat(this.cli.run("check", "--base", this.unusedPool, "--against-version", version)).isEqualTo(0);
		assertThat(this.cli.out).contains(expected);
		assertThat(this.cli.out).contains("base and " + overlays + " overlay(s)");
	}

	@Test
	void unknownVersionsAndOutagesHaveTheirExitCodes() {
		assertThat(this.cli.run("check", "--base", this.plain, "--against-version", "7")).isEqualTo(1);
		assertThat(this.cli.err).contains("--against-version: version 7 does not exist");
		this.cli.store.setOutage(true);
		assertThat(this.cli.run("check", "--base", this.plain, "--against-version", "newest")).isEqualTo(3);
	}

	@ParameterizedTest
	@ValueSource(strings = { "--against x --against-version 1", "--against-overlays x", "--against-version now" })
	void contradictoryFlagsAreRefused(String flags) {
		assertThat(this.cli.run(("check --base " + this.plain + " " + flags).split(" "))).isEqualTo(2);
	}

	/** Guards against an operator who applies what the check would have warned about. */
	@Test
	void applyPrintsTheSameWarnings() {
		assertThat(this.cli.run("apply", "--base", this.unusedPool)).isEqualTo(0);
		assertThat(this.cli.out).contains("accepted, version 1");
		assertThat(this.cli.out).contains("1 warning(s):\n  " + WARNING);
		assertThat(this.cli.run("apply", "--json", "--base", this.unusedPool)).isEqualTo(0);
		assertThat(this.cli.json().getAsJsonArray("findings")).hasSize(1);
	}

	private String write(String name, String text) throws Exception {
		return Files.writeString(this.directory.resolve(name), text).toString();
	}

}
