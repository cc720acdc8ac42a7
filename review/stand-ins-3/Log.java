import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The record of a case: what was sent, answered and run, with the milliseconds since the
 * start.
 */
final class Log implements AutoCloseable {

	private final long startNs = System.nanoTime();

	private final PrintWriter writer;

	Log(Path folder) {
		try {
			this.writer = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	long nowMs() {
		return (System.nanoTime() - this.startNs) / 1_000_000;
	}

	synchronized void line(String text) {
		this.writer.println(nowMs() + " " + text);
	}

	@Override
	public void close() {
		this.writer.close();
	}

}
