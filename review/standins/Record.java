import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with milliseconds since its start. */
final class Record {

	private final PrintWriter out;

	private final long startNs = System.nanoTime();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	double nowMs() {
		return (System.nanoTime() - this.startNs) / 1e6;
	}

	synchronized void line(String format, Object... values) {
		this.out.printf("%9.1f %s%n", nowMs(), format.formatted(values));
		this.out.flush();
	}

	void say(String format, Object... values) {
		String text = format.formatted(values);
		System.out.println(text);
		line("%s", text);
	}

}
