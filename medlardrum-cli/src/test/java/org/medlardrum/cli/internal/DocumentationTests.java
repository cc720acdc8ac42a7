package org.medlardrum.cli.internal;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.google.gson.JsonParser;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.medlardrum.state.config.ConfigFault;
import org.medlardrum.state.config.ConfigParser;
import org.medlardrum.state.config.ConfigResult;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against reference pages that differ from the code.
 */
class DocumentationTests {

	private static final String UNKNOWN_EVERYWHERE = """
			{"?":0,"models":{"a":{"?":0}},"pools":{"a":{"?":0}},"organisations":{"a":{"?":0}},
			"routes":{"a":{"?":0,"kind":"model"},"b":{"?":0,"kind":"service"}},"ranks":{"urgent":{"?":0}},
			"limits":{"?":0},"links":[{"?":0}],"placements":{"a":{"?":0}},"weightStore":{"?":0}}""";

	@Test
	void configurationPageNamesEachMember() throws Exception {
		String page = Files.readString(Path.of("../docs/configuration.md"));
		ConfigResult result = ConfigParser.parse(JsonParser.parseString(UNKNOWN_EVERYWHERE).getAsJsonObject());
		List<String> members = ((ConfigResult.Invalid) result).faults()
			.stream()
			.filter((fault) -> fault.path().endsWith("/?"))
			.map(ConfigFault::acceptedValues)
			.flatMap((names) -> List.of(names.split(", ")).stream())
			.toList();
		assertThat(members.size()).isGreaterThan(40);
		members.forEach((member) -> assertThat(page).contains("`" + member + "`"));
	}

	@ParameterizedTest
	@ValueSource(strings = { "check", "apply", "diff", "history", "status", "drain", "undrain", "explain", "quarantine",
			"replay", "burn" })
	void commandPageShowsTheHelpOfEachCommand(String command) throws Exception {
		CliHarness cli = new CliHarness();
		cli.run(command, "--help");
		String help = cli.out.substring(0, cli.out.indexOf("\n\nExit codes:"));
		assertThat(Files.readString(Path.of("../docs/cli.md"))).contains(help);
	}

}
