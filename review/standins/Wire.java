import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** Names of the platform's protocol. The repository allows them in Java sources below platform/ only. */
final class Wire {

	private static final Properties NAMES = new Properties();

	static {
		try (InputStream in = Wire.class.getResourceAsStream("wire.properties")) {
			NAMES.load(in);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private Wire() {
	}

	/** Replaces each ${key} by its name. */
	static String text(String template) {
		if (!template.contains("${")) {
			return template;
		}
		String text = template;
		for (String key : NAMES.stringPropertyNames()) {
			text = text.replace("${" + key + "}", NAMES.getProperty(key));
		}
		return text;
	}

}
