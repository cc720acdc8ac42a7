package org.medlardrum.cli.internal;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a timeline that lacks lines about the request or its context, or that
 * contains lines of another request.
 */
class StoryCommandTests {

	/** The first line is earlier than the default margin of 2 s before request r1. */
	private static final String LOG = """
			host-1 t=1000 part=store event=lost reason="status 503"
			host-1 t=5000 part=stream event=send id=r1 chain=10.0.0.1:80/0-8 fill=0.5
			host-1 t=5100 part=stream event=send id=r2 chain=10.0.0.1:80/0-8 fill=0.6
			host-1 t=5300 part=fleet event=suspect server=s1 seenFrom=a
			host-1 t=5301 part=stream event=stalled id=r1 reason="the chain waits for \\"s1\\""
			not a line of the log
			host-1 t=5400 part=request event=end id=r1 outcome=broken-off tookMs=400
			""";

	@TempDir
	Path directory;

	private CommandResult run(String id) throws Exception {
		Path file = Files.writeString(this.directory.resolve("host.log"), LOG);
		StoryCommand command = new StoryCommand();
		command.id = id;
		command.files = List.of(file.toString());
		// The command does not use the session.
		return command.run(null);
	}

	@Test
	void timelineContainsTheRequestAndItsContext() throws Exception {
		String text = run("r1").text();
		assertThat(text).startsWith("request r1: broken-off. ");
		assertThat(text).contains("fleet suspect server=s1");
		assertThat(text).contains("reason=the chain waits for \"s1\"");
		assertThat(text).doesNotContain("r2");
		assertThat(text).doesNotContain("store lost");
	}

	@Test
	void unknownRequestIsAFailure() throws Exception {
		assertThat(run("r9").exitCode()).isEqualTo(ExitCode.FAILED);
	}

	@ParameterizedTest
	@CsvSource({ "'', false", "'t=1 part=a', false", "'t=x part=a event=b', false", "'t=1 part=a event=b', true" })
	void linesWithoutTimePartOrEventAreIgnored(String text, boolean parsed) {
		assertThat(LogLine.parse(text).isPresent()).isEqualTo(parsed);
	}

}
