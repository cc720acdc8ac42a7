package org.medlardrum.cli.internal;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against wrong burn rates after a restart of a host, after a gap between samples
 * or for a single organisation.
 */
class BurnCommandTests {

	private static final String HOST = "127.0.0.1:9001";

	private final CliHarness cli = new CliHarness();

	@TempDir
	private Path directory;

	@Test
	void countsMissedTargetsAcrossARestartAndSkipsUnreadableLines() throws Exception {
		// The first sample is the baseline. In the 100 requests up to the second one, 2
		// missed the target.
		appendSample(1_000, 900);
		appendSample(1_100, 998);
		// The host restarts and serves 100 requests, 10 of them missed the target. The
		// window of 5 minutes contains only this sample.
		this.cli.clock.advance(600_000);
		appendSample(100, 90);
		// An incomplete line, as after an interrupted write.
		Files.writeString(samplesFile(), "{\"atMs\":17", StandardOpenOption.APPEND);
		Path page = this.directory.resolve("burn.html");
		assertThat(this.cli.run("burn", "--json", "--samples-file", samplesFile().toString(), "--windows-min", "5,60",
				"--html-file", page.toString()))
			.isEqualTo(0);
		JsonObject allOrganisations = row("(all)");
		assertThat(allOrganisations.get("total").getAsDouble()).isEqualTo(200);
		// The objective allows 1% of the requests to miss the target. 12 of 200 are 6%,
		// and 10 of 100 are 10%. A burn rate of 6 leaves 1 - 6 of the budget.
		assertThat(allOrganisations.getAsJsonObject("burnRates").get("60").getAsDouble()).isWithin(1e-9).of(6);
		assertThat(allOrganisations.getAsJsonObject("burnRates").get("5").getAsDouble()).isWithin(1e-9).of(10);
		assertThat(allOrganisations.get("budgetLeft").getAsDouble()).isWithin(1e-9).of(-5);
		assertThat(row("a<b\"c").get("total").getAsDouble()).isEqualTo(200);
		assertThat(this.cli.json().get("unreadableLines").getAsInt()).isEqualTo(1);
		assertThat(Files.readString(page)).contains("a&lt;b&quot;c");
		assertThat(Files.readString(page)).doesNotContain("http");
		// One point for each pair of samples; no points with rate 0 in between.
		Matcher points = Pattern.compile("points=\"([^\"]*)\"").matcher(Files.readString(page));
		assertThat(points.find()).isTrue();
		assertThat(points.group(1).trim().split(" ")).hasLength(2);
	}

	@Test
	void unreachableHostIsNamed() {
		assertThat(
				this.cli.run("burn", "--sample", "--samples-file", samplesFile().toString(), "--admin-addresses", HOST))
			.isEqualTo(3);
		assertThat(this.cli.out).contains("sampled 0 of 1 entry hosts, not: 127.0.0.1:9001 (connection refused)");
	}

	// The counts are cumulative since the start of the host. Five of the requests are
	// refused. The organisation's name needs escaping; the comma after the last label and
	// the timestamp after a value are optional in the text format.
	private void appendSample(int totalRequests, int totalWithinTarget) {
		this.cli.clock.advance(1_000);
		String labels = "{rank=\"urgent\",organisation=\"a<b\\\"c\"";
		this.cli.responders.put(HOST,
				(target) -> CliHarness.ok("# TYPE medlardrum_requests counter\nmedlardrum_requests_total" + labels
						+ ",outcome=\"completed\"} " + (totalRequests - 5) + ".0\nmedlardrum_requests_total" + labels
						+ ",outcome=\"refused\",} 5\nmedlardrum_requests_within_target_total" + labels + "} "
						+ totalWithinTarget + " 1700000000000\n"));
		assertThat(
				this.cli.run("burn", "--sample", "--samples-file", samplesFile().toString(), "--admin-addresses", HOST))
			.isEqualTo(0);
	}

	private Path samplesFile() {
		return this.directory.resolve("burn.jsonl");
	}

	private JsonObject row(String organisation) {
		for (JsonElement row : this.cli.json().getAsJsonArray("rows")) {
			if (row.getAsJsonObject().get("organisation").getAsString().equals(organisation)) {
				return row.getAsJsonObject();
			}
		}
		throw new AssertionError("No row for " + organisation + " in " + this.cli.out);
	}

}
