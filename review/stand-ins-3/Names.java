import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Properties;

/**
 * Names of the platform's protocol and templates of its documents, which are kept in
 * files beside the sources.
 */
final class Names {

	static final Path FOLDER = Path.of("review/stand-ins-3");

	private static final Properties PROPERTIES = load();

	private Names() {
	}

	private static Properties load() {
		Properties properties = new Properties();
		try (Reader reader = Files.newBufferedReader(FOLDER.resolve("names.properties"))) {
			properties.load(reader);
			return properties;
		}
		catch (IOException ex) {
			throw new IllegalStateException("Start this in the root of the repository", ex);
		}
	}

	static String get(String name) {
		String value = PROPERTIES.getProperty(name);
		if (value == null) {
			throw new IllegalArgumentException("No name " + name);
		}
		return value;
	}

	/**
	 * Fills in a template.
	 * @param file name of the file
	 * @param pairs alternating placeholders and values
	 * @return the document
	 */
	static String template(String file, Object... pairs) {
		try {
			String text = Files.readString(FOLDER.resolve(file));
			for (int i = 0; i + 1 < pairs.length; i += 2) {
				text = text.replace("@" + pairs[i] + "@", String.valueOf(pairs[i + 1]));
			}
			return text;
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
